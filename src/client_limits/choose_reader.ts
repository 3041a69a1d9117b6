import type { Reader } from "./reader.ts";

/** Connections whose unfinished requests have taken less than this are read in the order of their arrival, in ms. */
const LIGHT_WORK_MS = 1;

/** Chooses the connection to read next: the first light one, or else the one whose unfinished request has taken least time; undefined if there is none. */
export function chooseReader(waiting: Iterable<Reader>): Reader | undefined {
  let chosen: Reader | undefined;
  for (const reader of waiting) {
    if (reader.workMs < LIGHT_WORK_MS) return reader;
    if (chosen && chosen.workMs <= reader.workMs) continue;
    chosen = reader;
  }
  return chosen;
}

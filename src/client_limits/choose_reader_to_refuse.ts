import type { Reader } from "./reader.ts";

/** Chooses the connection to refuse: the one whose unfinished request has taken most time, and of equal ones the one with most bytes; undefined if there is none. */
export function chooseReaderToRefuse(
  waiting: Iterable<Reader>,
): Reader | undefined {
  let chosen: Reader | undefined;
  for (const reader of waiting) {
    if (chosen && !isCostlier(reader, chosen)) continue;
    chosen = reader;
  }
  return chosen;
}

function isCostlier(reader: Reader, other: Reader): boolean {
  return reader.workMs > other.workMs ||
    (reader.workMs === other.workMs &&
      reader.waitingBytes > other.waitingBytes);
}

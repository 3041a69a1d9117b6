import type { EndMark } from "./end_mark.ts";

/** Ends of a task's runs under an earlier scheduler. */
export type EarlierEnds = {
  ends: { how: "done" | "failed"; run: number; mark: EndMark }[];
  /** When the latest was heard, in ms. */
  heardMs: number;
};

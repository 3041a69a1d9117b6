import type { RunEndId } from "./run_end_id.ts";

/** Ends of a task's runs under an earlier scheduler. */
export type EarlierEnds = {
  ends: { how: "done" | "failed"; run: number; mark: RunEndId }[];
  /** When the latest was heard, in ms. */
  heardMs: number;
};

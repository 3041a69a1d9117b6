import type { RunEnd } from "./run_end.ts";
import type { RunEndId } from "./run_end_id.ts";

/** Ends of a task's runs that arrived before its job did, or that belong to a run which this scheduler does not track. */
export type UnmatchedRunEnds = {
  ends: { how: RunEnd["how"]; run: number; endId: RunEndId }[];
  /** When the latest was received, in ms. */
  receivedMs: number;
};

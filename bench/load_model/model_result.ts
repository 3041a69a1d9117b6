import type { ModelOutcome } from "./model_outcome.ts";

/** What became of the jobs of a load. */
export type ModelResult = {
  outcomes: ModelOutcome[];
  stoppedRuns: number;
  /** CPU time of the stopped runs, in core-ms. */
  stoppedWork: number;
};

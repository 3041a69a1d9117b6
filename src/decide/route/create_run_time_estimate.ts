import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** Assumed of a service that was never seen, in ms. */
const UNSEEN_RUN_TIME_MS = 200;

/** Creates the estimate for tasks that were never seen. */
export function createRunTimeEstimate(): RunTimeEstimate {
  return {
    meanMs: UNSEEN_RUN_TIME_MS,
    declaredRatio: 1,
    meanError: 1,
    declaredError: 1,
    samples: 0,
  };
}

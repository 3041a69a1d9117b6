import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** Run time assumed for a service of which no task has finished yet. */
const DEFAULT_RUN_TIME_MS = 200;

/** Creates the estimate for tasks of which none has finished yet. */
export function createRunTimeEstimate(): RunTimeEstimate {
  return {
    meanMs: DEFAULT_RUN_TIME_MS,
    declaredRatio: 1,
    meanError: 1,
    declaredError: 1,
    samples: 0,
  };
}

import type { RunTimeEstimate } from "./run_time_estimate.ts";

/**
 * Predicts the run time of a task at an endpoint of average speed, in ms: the
 * mean of past run times or the corrected declaration of the caller, whichever
 * had the smaller error so far.
 */
export function predictRunTimeMs(
  estimate: RunTimeEstimate,
  declaredMs: number | undefined,
): number {
  if (declaredMs === undefined) return estimate.meanMs;
  if (estimate.declaredError > estimate.meanError) return estimate.meanMs;
  return declaredMs * estimate.declaredRatio;
}

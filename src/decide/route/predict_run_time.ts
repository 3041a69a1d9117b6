import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** Predicts a run time at an average endpoint, in ms, by whichever predictor erred less so far. */
export function predictRunTime(
  estimate: RunTimeEstimate,
  declaredMs: number | undefined,
): number {
  if (declaredMs === undefined) return estimate.meanMs;
  if (estimate.declaredError > estimate.meanError) return estimate.meanMs;
  return declaredMs * estimate.declaredRatio;
}

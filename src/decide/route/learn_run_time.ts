import type { EndpointState } from "./endpoint_state.ts";
import { predictRunTimeMs } from "./predict_run_time_ms.ts";
import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** Weight of the latest run time in the moving averages, once they have enough samples. */
const LATEST_WEIGHT = 0.05;
/**
 * Bound on the ratio of actual and expected run time, in both directions, so
 * that single outliers change the slowness little.
 */
const MAX_RATIO = 10;
/** Lower bound of run times, so that ratios and logarithms stay finite. */
const MIN_RUN_TIME_MS = 1;

/**
 * Updates the run time estimate and the slowness of the endpoint with the run
 * time of a task that succeeded.
 */
export function learnRunTime(
  estimate: RunTimeEstimate,
  options: {
    endpoint: EndpointState;
    tookMs: number;
    declaredMs: number | undefined;
  },
): void {
  const { endpoint, declaredMs } = options;
  const tookMs = Math.max(MIN_RUN_TIME_MS, options.tookMs);
  const expectedMs = predictRunTimeMs(estimate, declaredMs);
  const averageMs = tookMs / endpoint.slowness;
  if (estimate.samples > 0) {
    learnSlowness(endpoint, tookMs / Math.max(MIN_RUN_TIME_MS, expectedMs));
  }
  learnEstimate(estimate, averageMs, declaredMs);
}

function learnSlowness(endpoint: EndpointState, ratio: number): void {
  const bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
  endpoint.samples += 1;
  const weight = Math.max(LATEST_WEIGHT, 1 / (endpoint.samples + 1));
  endpoint.slowness += weight * (bounded - endpoint.slowness);
}

function learnEstimate(
  estimate: RunTimeEstimate,
  averageMs: number,
  declaredMs: number | undefined,
): void {
  estimate.samples += 1;
  const weight = Math.max(LATEST_WEIGHT, 1 / estimate.samples);
  const meanError = Math.abs(Math.log(averageMs / estimate.meanMs));
  estimate.meanError += weight * (meanError - estimate.meanError);
  estimate.meanMs += weight * (averageMs - estimate.meanMs);
  if (declaredMs === undefined) return;
  const declared = Math.max(MIN_RUN_TIME_MS, declaredMs);
  const corrected = declared * estimate.declaredRatio;
  const declaredError = Math.abs(Math.log(averageMs / corrected));
  estimate.declaredError += weight * (declaredError - estimate.declaredError);
  const ratio = averageMs / declared;
  estimate.declaredRatio += weight * (ratio - estimate.declaredRatio);
}

import type { EndpointState } from "./endpoint_state.ts";
import { predictRunTime } from "./predict_run_time.ts";
import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** Weight of the newest run time once enough were seen. */
const NEWEST_WEIGHT = 0.05;
/** A run time counts at most this many times the expected one, and at least its inverse. */
const MOST_RATIO = 10;
/** Shortest run time taken into account, in ms. */
const LEAST_RUN_TIME_MS = 1;

/** Learns from one finished task: the service's run time and the endpoint's slowness. */
export function learnRunTime(
  estimate: RunTimeEstimate,
  options: {
    endpoint: EndpointState;
    tookMs: number;
    declaredMs: number | undefined;
  },
): void {
  const { endpoint, declaredMs } = options;
  const tookMs = Math.max(LEAST_RUN_TIME_MS, options.tookMs);
  const expectedMs = predictRunTime(estimate, declaredMs);
  const averageMs = tookMs / endpoint.slowness;
  if (estimate.samples > 0) {
    learnSlowness(endpoint, tookMs / Math.max(LEAST_RUN_TIME_MS, expectedMs));
  }
  learnEstimate(estimate, averageMs, declaredMs);
}

function learnSlowness(endpoint: EndpointState, ratio: number): void {
  const bounded = Math.min(MOST_RATIO, Math.max(1 / MOST_RATIO, ratio));
  endpoint.samples += 1;
  const weight = Math.max(NEWEST_WEIGHT, 1 / (endpoint.samples + 1));
  endpoint.slowness += weight * (bounded - endpoint.slowness);
}

function learnEstimate(
  estimate: RunTimeEstimate,
  averageMs: number,
  declaredMs: number | undefined,
): void {
  estimate.samples += 1;
  const weight = Math.max(NEWEST_WEIGHT, 1 / estimate.samples);
  const meanError = Math.abs(Math.log(averageMs / estimate.meanMs));
  estimate.meanError += weight * (meanError - estimate.meanError);
  estimate.meanMs += weight * (averageMs - estimate.meanMs);
  if (declaredMs === undefined) return;
  const declared = Math.max(LEAST_RUN_TIME_MS, declaredMs);
  const corrected = declared * estimate.declaredRatio;
  const declaredError = Math.abs(Math.log(averageMs / corrected));
  estimate.declaredError += weight * (declaredError - estimate.declaredError);
  const ratio = averageMs / declared;
  estimate.declaredRatio += weight * (ratio - estimate.declaredRatio);
}

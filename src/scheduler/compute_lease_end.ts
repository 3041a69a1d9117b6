import type { EndpointRecord } from "./endpoint_record.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Computes until when an endpoint's lease is extended, by its clock in ms;
 * undefined where it must not be. Runs that nobody has handed in again may
 * belong to a scheduler that is cut off and takes them as over when its own
 * lease is.
 */
export function computeLeaseEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): number | undefined {
  if (endpoint.phase !== "usable" || endpoint.foreignRuns.size > 0) {
    return undefined;
  }
  if (endpoint.lapseByClockMs > 0) return undefined;
  const clockMs = endpoint.clockMs + (nowMs - endpoint.heardMs);
  return Math.floor(clockMs + state.limits.leaseMs);
}

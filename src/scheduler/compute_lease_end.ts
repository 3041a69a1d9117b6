import { computeEndpointClock } from "./compute_endpoint_clock.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Computes the end of an endpoint's extended lease, by the endpoint's clock in
 * ms; undefined where the lease must not be extended. Foreign runs may belong
 * to another scheduler that cannot reach the endpoint any more and counts them
 * as ended once its own lease has expired.
 */
export function computeLeaseEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): number | undefined {
  if (endpoint.phase !== "usable" || endpoint.foreignRuns.size > 0) {
    return undefined;
  }
  if (endpoint.leaseExpiryClockMs > 0) return undefined;
  return Math.floor(
    computeEndpointClock(endpoint, nowMs) + state.limits.leaseMs,
  );
}

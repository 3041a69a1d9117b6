import { computeMinClock } from "./compute_min_clock.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Leases are extended for this long after this process may have lost the scheduler role, in ms. A later scheduler starts a stored job's tasks again only after this and a full lease. */
const UNCERTAIN_ROLE_MS = 1_000;
/** Margin after the end of a lease before it counts as expired, in ms. */
const LEASE_EXPIRY_MARGIN_MS = 100;

/**
 * Stops extending the leases of endpoints with runs or unacknowledged run ends
 * of stored jobs while another process may hold the scheduler role. If the
 * other process cannot reach the endpoint, it starts the tasks again once the
 * lease has expired. Run ends from before the expiry of a lease do not count
 * after it.
 */
export function expireLeases(state: SchedulerState, nowMs: number): void {
  const isUncertain = nowMs > state.roleExclusiveUntilMs + UNCERTAIN_ROLE_MS;
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.leaseExpiryClockMs > 0) clearIfExpired(state, endpoint, nowMs);
    else if (isUncertain && hasStoredJobRuns(endpoint)) {
      endpoint.leaseExpiryClockMs = endpoint.leaseEndMs +
        LEASE_EXPIRY_MARGIN_MS;
      recordEvent(state, "leaseNotExtended", {
        endpoint: endpoint.row.id,
        uncertainMs: Math.round(nowMs - state.roleExclusiveUntilMs),
      });
    }
  }
}

/** Whether the endpoint has runs or unacknowledged run ends of stored jobs. */
function hasStoredJobRuns(
  { unacknowledgedEnds, runs }: EndpointRecord,
): boolean {
  if (unacknowledgedEnds.size > 0) return true;
  return [...runs.values()].some(({ job }) => job.order.isKept);
}

/** Allows new leases again, and drops the unacknowledged run ends, once the lease has expired. */
function clearIfExpired(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  if (computeMinClock(endpoint, nowMs) <= endpoint.leaseExpiryClockMs) return;
  endpoint.leaseExpiryClockMs = 0;
  endpoint.unacknowledgedEnds.clear();
  recordEvent(state, "leaseEnded", { endpoint: endpoint.row.id });
}

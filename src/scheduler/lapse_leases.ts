import { computeLeastClock } from "./compute_least_clock.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Leases go on this long after the role became uncertain, in ms: another scheduler starts a stored job's tasks again only after this and a whole lease. */
const UNCERTAIN_MS = 1_000;
/** Added to a lease's end before it is taken as over, in ms. */
const MARGIN_MS = 100;

/**
 * Lets leases end where runs of stored jobs are, or have ended, that this
 * scheduler may not answer for: another, which can't reach the endpoint,
 * starts their tasks again. What ended before a lease did counts no more.
 */
export function lapseLeases(state: SchedulerState, nowMs: number): void {
  const isUncertain = nowMs > state.roleExclusiveUntilMs + UNCERTAIN_MS;
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.lapseByClockMs > 0) reviewLapse(state, endpoint, nowMs);
    else if (isUncertain && hasStoredJobs(endpoint)) {
      endpoint.lapseByClockMs = endpoint.leaseEndMs + MARGIN_MS;
      recordEvent(state, "leaseNotExtended", {
        endpoint: endpoint.row.id,
        uncertainMs: Math.round(nowMs - state.roleExclusiveUntilMs),
      });
    }
  }
}

function hasStoredJobs(
  { unacknowledgedEnds, runs }: EndpointRecord,
): boolean {
  if (unacknowledgedEnds.size > 0) return true;
  return [...runs.values()].some(({ job }) => job.order.isKept);
}

function reviewLapse(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  if (computeLeastClock(endpoint, nowMs) <= endpoint.lapseByClockMs) return;
  endpoint.lapseByClockMs = 0;
  endpoint.unacknowledgedEnds.clear();
  recordEvent(state, "leaseEnded", { endpoint: endpoint.row.id });
}

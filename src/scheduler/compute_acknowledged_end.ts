import type { EndpointRecord } from "./endpoint_record.ts";
import { canHaveStoredJobs } from "./can_have_stored_jobs.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Computes up to which end an endpoint may forget its list: what the store must know is listed until it does. */
export function computeAcknowledgedEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): number {
  if (!canHaveStoredJobs(state)) endpoint.unacknowledgedEnds.clear();
  let acknowledged = endpoint.lastEnd;
  for (const [number, untilMs] of endpoint.unacknowledgedEnds) {
    const isOver = state.areStoredJobsRead && untilMs <= nowMs;
    if (isOver) endpoint.unacknowledgedEnds.delete(number);
    else acknowledged = Math.min(acknowledged, number - 1);
  }
  return acknowledged;
}

import type { EndpointRecord } from "./endpoint_record.ts";
import { hasStoredJobs } from "./has_stored_jobs.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Computes up to which end an endpoint may forget its list: what the store must know is listed until it does. */
export function computeAcknowledgedEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): number {
  if (!hasStoredJobs(state)) endpoint.unsettled.clear();
  let acknowledged = endpoint.lastEnd;
  for (const [number, untilMs] of endpoint.unsettled) {
    const isOver = state.areKeptJobsRead && untilMs <= nowMs;
    if (isOver) endpoint.unsettled.delete(number);
    else acknowledged = Math.min(acknowledged, number - 1);
  }
  return acknowledged;
}

import type { EndpointRecord } from "./endpoint_record.ts";
import { canHaveStoredJobs } from "./can_have_stored_jobs.ts";
import { hasUnreadStoredJobs } from "./has_unread_stored_jobs.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Computes the number up to which an endpoint may drop run ends from its
 * listing. Run ends whose effect must be in the store stay listed until it is.
 * Forgets unacknowledged ends that have expired.
 */
export function computeAcknowledgedEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): number {
  if (!canHaveStoredJobs(state)) endpoint.unacknowledgedEnds.clear();
  let acknowledged = endpoint.lastEndNumber;
  for (const [number, untilMs] of endpoint.unacknowledgedEnds) {
    const isOver = !hasUnreadStoredJobs(state) && untilMs <= nowMs;
    if (isOver) endpoint.unacknowledgedEnds.delete(number);
    else acknowledged = Math.min(acknowledged, number - 1);
  }
  return acknowledged;
}

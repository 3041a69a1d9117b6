import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Number of consecutive failures at which an endpoint's backoff begins. */
const FAILURES_BEFORE_BACKOFF = 2;
/** First backoff of an endpoint, in ms; doubles with each further failure. */
const INITIAL_BACKOFF_MS = 400;
/** Longest backoff of an endpoint, in ms. */
const MAX_BACKOFF_MS = 3_000;

/**
 * Counts a failure against an endpoint and starts its backoff after several in
 * a row. Ignores a task that has failed before, as the task itself is then the
 * more likely cause.
 */
export function recordFailure(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task?: ScheduledTask; nowMs: number },
): void {
  if (run.task && run.task.failedRuns.length > 0) return;
  endpoint.consecutiveFailures += 1;
  if (endpoint.consecutiveFailures < FAILURES_BEFORE_BACKOFF) return;
  const doublings = endpoint.consecutiveFailures - FAILURES_BEFORE_BACKOFF;
  const backoffMs = Math.min(
    MAX_BACKOFF_MS,
    INITIAL_BACKOFF_MS * 2 ** doublings,
  );
  endpoint.backoffUntilMs = run.nowMs + backoffMs;
  recordEvent(state, "endpointRested", {
    endpoint: endpoint.row.id,
    strikes: endpoint.consecutiveFailures,
    restMs: backoffMs,
  });
}

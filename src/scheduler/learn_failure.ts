import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Failed ends in a row after which an endpoint rests. */
const STRIKES_TO_REST = 2;
/** First rest of an endpoint that fails, in ms; doubles with each further strike. */
const REST_MS = 400;
/** Longest rest, in ms. */
const MOST_REST_MS = 3_000;

/**
 * Learns from a failed run whether its endpoint is at fault: a task that failed
 * elsewhere too says little about this endpoint.
 */
export function learnFailure(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task?: ScheduledTask; nowMs: number },
): void {
  if (run.task && run.task.failures > 0) return;
  endpoint.strikes += 1;
  if (endpoint.strikes < STRIKES_TO_REST) return;
  const doublings = endpoint.strikes - STRIKES_TO_REST;
  const restMs = Math.min(MOST_REST_MS, REST_MS * 2 ** doublings);
  endpoint.restUntilMs = run.nowMs + restMs;
  recordEvent(state, "endpointRested", {
    endpoint: endpoint.row.id,
    strikes: endpoint.strikes,
    restMs,
  });
}

import { match } from "ts-pattern";
import { changeTaskPhase } from "./change_task_phase.ts";
import { confirmStart } from "./confirm_start.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordFailure } from "./record_failure.ts";
import { recordKnownStart } from "./record_known_start.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { StartReply } from "./start_reply.ts";

/** Backoff of an endpoint that rejected a start, in ms; its next listing, which shows what runs there, arrives by then. */
const REJECTION_BACKOFF_MS = 100;
/** Longest backoff of an endpoint that rejected starts for want of capacity, in ms: its next row in the list shows its capacity by then. */
const MAX_ROOM_BACKOFF_MS = 1_600;
/** Added to a run number that an endpoint rejected as too low; exceeds what the tokens of several schedulers add. */
const REJECTED_RUN_STEP = 100_000;

/**
 * Applies an endpoint's reply to a start request. After a rejection the task
 * is placed again; a start that was not answered is stopped, as it may still
 * be carried out. Ignores replies about a run that is not the task's latest.
 */
export function applyStartReply(
  state: SchedulerState,
  run: { endpointId: string; task: ScheduledTask; run: number },
  received: { reply: StartReply & { clockMs?: number }; nowMs: number },
): void {
  const { task } = run;
  const endpoint = state.endpoints.get(run.endpointId);
  const isCurrent = endpoint?.runs.get(task.name) === task &&
    task.run === run.run;
  if (!endpoint || !isCurrent) return;
  const { reply, nowMs } = received;
  // The frequent reply, decided without the cost of matching patterns.
  if (reply.type === "accepted") {
    endpoint.roomRejections = 0;
    if (task.phase === "starting") changeTaskPhase(state, task, "confirm");
    confirmStart(endpoint, task, { nowMs, clockMs: reply.clockMs });
    recordKnownStart(state, task.job);
    if (task.job.outcome) stopRun(state, endpoint, task);
    return;
  }
  match(reply)
    .with({ type: "rejected" }, ({ reason }) => {
      dropRun(endpoint, task);
      endpoint.backoffUntilMs = Math.max(
        endpoint.backoffUntilMs,
        nowMs + computeRejectionBackoff(endpoint, reason),
      );
      if (reason === "unhealthy") recordFailure(state, endpoint, { nowMs });
      retryTask(state, task, { reason, endpoint, nowMs });
      // Only now, as the number of the rejected run says which start is no doubt any more.
      if (reason === "olderRun") task.run += REJECTED_RUN_STEP;
      placeTasks(state, nowMs);
    })
    .with({ type: "unanswered" }, () => {
      const wasPhase = task.phase;
      // Another run may have ended the task meanwhile.
      if (changeTaskPhase(state, task, "doubt")) {
        task.failedEndpointIds.push(endpoint.row.id);
      }
      recordEvent(state, "startUnanswered", {
        task: task.name,
        run: task.run,
        endpoint: endpoint.row.id,
        wasPhase,
      });
      stopRun(state, endpoint, task);
    })
    .exhaustive();
}

/** Computes the backoff after a rejection, in ms; longer after each further one for want of capacity, as the list of endpoints may not show yet that the capacity has shrunk. */
function computeRejectionBackoff(
  endpoint: EndpointRecord,
  reason: Extract<StartReply, { type: "rejected" }>["reason"],
): number {
  if (reason !== "noRoom") return REJECTION_BACKOFF_MS;
  const backoffMs = REJECTION_BACKOFF_MS * 2 ** endpoint.roomRejections;
  endpoint.roomRejections += 1;
  return Math.min(backoffMs, MAX_ROOM_BACKOFF_MS);
}

function stopRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): void {
  state.effects.push({
    type: "stopRun",
    endpointId: endpoint.row.id,
    task: task.name,
    run: task.run,
  });
}

import { endJob } from "./end_job.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { finishTask } from "./finish_task.ts";
import { hasUsedAttempts } from "./has_used_attempts.ts";
import { recordFailedRun } from "./record_failed_run.ts";
import { recordFailure } from "./record_failure.ts";
import { learnRunTime } from "./learn_run_time.ts";
import { recordJobChange } from "./record_job_change.ts";
import { recordKnownStart } from "./record_known_start.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { RunEnd } from "./run_end.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Applies the end of a task's latest run, as its endpoint lists it: the task is done, failed or requeued. */
export function endRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  end: {
    task: ScheduledTask;
    how: RunEnd["how"];
    endId: RunEndId;
    nowMs: number;
  },
): void {
  const { task, how, endId, nowMs } = end;
  dropRun(endpoint, task);
  recordEvent(state, "taskEnded", {
    task: task.name,
    run: task.run,
    endpoint: endpoint.row.id,
    how,
    tookMs: Math.round(nowMs - task.startSentMs),
  });
  // An older run of the same task, if its job is stored, may have been listed as done already.
  if (task.job.outcome || task.phase === "done") return;
  recordKnownStart(state, task.job);
  if (how === "done" || how === "failed" || task.isStartCounted) {
    recordJobChange(state, task.job, endId);
  }
  if (how === "done") {
    learnRunTime(state, endpoint, task);
    finishTask(state, task, nowMs);
  } else if (how === "failed") {
    recordFailure(state, endpoint, { task, nowMs });
    failTask(state, task, { endpoint, nowMs });
  } else retryTask(state, task, { reason: how, endpoint, nowMs });
}

/** Counts a failed run: the task is retried until its attempts are used up, which fails the job. */
function failTask(
  state: SchedulerState,
  task: ScheduledTask,
  at: { endpoint: EndpointRecord; nowMs: number },
): void {
  recordFailedRun(state, task, {
    run: task.run,
    endpointId: at.endpoint.row.id,
  });
  task.failedEndpointIds.push(at.endpoint.row.id);
  if (!hasUsedAttempts(task)) {
    retryTask(state, task, { reason: "failed", ...at });
    return;
  }
  endJob(state, task.job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs: at.nowMs,
  });
}

import { endJob } from "./end_job.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { finishTask } from "./finish_task.ts";
import { learnFailure } from "./learn_failure.ts";
import { learnRunTime } from "./learn_run_time.ts";
import { recordChange } from "./record_change.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { RunEnd } from "./run_end.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes note of a run's end as its endpoint lists it. */
export function endRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  end: {
    task: ScheduledTask;
    how: RunEnd["how"];
    mark: RunEndId;
    nowMs: number;
  },
): void {
  const { task, how, mark, nowMs } = end;
  dropRun(endpoint, task);
  recordEvent(state, "taskEnded", {
    task: task.name,
    run: task.run,
    endpoint: endpoint.row.id,
    how,
    tookMs: Math.round(nowMs - task.sentMs),
  });
  // An older run of a stored job's task may have been found done meanwhile.
  if (task.job.outcome || task.phase === "done") return;
  if (how === "done" || how === "failed") recordChange(state, task.job, mark);
  if (how === "done") {
    learnRunTime(state, endpoint, { task, nowMs });
    finishTask(state, task, nowMs);
  } else if (how === "failed") {
    learnFailure(state, endpoint, { task, nowMs });
    failTask(state, task, { endpoint, nowMs });
  } else retryTask(state, task, { reason: how, endpoint, nowMs });
}

function failTask(
  state: SchedulerState,
  task: ScheduledTask,
  at: { endpoint: EndpointRecord; nowMs: number },
): void {
  task.failures += 1;
  task.failedRun = task.run;
  task.failedOn.push(at.endpoint.row.id);
  if (task.failures < task.job.order.maxAttempts) {
    retryTask(state, task, { reason: "failed", ...at });
    return;
  }
  endJob(state, task.job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs: at.nowMs,
  });
}

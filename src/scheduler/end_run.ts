import { endJob } from "./end_job.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { learnFailure } from "./learn_failure.ts";
import { learnRunTime } from "./learn_run_time.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { RunEnd } from "./run_end.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { releaseSteps } from "./release_steps.ts";

/** Takes note of a run's end as its endpoint lists it. */
export function endRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  end: { task: ScheduledTask; how: RunEnd["how"]; nowMs: number },
): void {
  const { task, how, nowMs } = end;
  dropRun(endpoint, task);
  recordEvent(state, "taskEnded", {
    task: task.name,
    run: task.run,
    endpoint: endpoint.row.id,
    how,
    tookMs: Math.round(nowMs - task.sentMs),
  });
  if (task.job.outcome) return;
  if (how === "done") {
    learnRunTime(state, endpoint, { task, nowMs });
    finishTask(state, task, nowMs);
  } else if (how === "failed") {
    learnFailure(state, endpoint, { task, nowMs });
    failTask(state, task, { endpointId: endpoint.row.id, nowMs });
  } else retryTask(state, task, how);
}

function finishTask(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): void {
  const { job } = task;
  if (task.phase === "waiting") job.waitingCount -= 1;
  task.phase = "done";
  job.openCount -= 1;
  if (job.openCount === 0) {
    endJob(state, job, { outcome: { type: "completed" }, nowMs });
    return;
  }
  state.effects.push({ type: "tellDone", vms: [...job.vms], task: task.name });
  releaseSteps(state, job);
}

function failTask(
  state: SchedulerState,
  task: ScheduledTask,
  at: { endpointId: string; nowMs: number },
): void {
  task.failures += 1;
  task.failedOn.push(at.endpointId);
  if (task.failures < task.job.order.maxAttempts) {
    retryTask(state, task, "failed");
    return;
  }
  endJob(state, task.job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs: at.nowMs,
  });
}

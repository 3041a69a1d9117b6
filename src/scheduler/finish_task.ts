import { endJob } from "./end_job.ts";
import { releaseSteps } from "./release_steps.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes a task as done; the steps after it may begin, and the job is complete with the last. */
export function finishTask(
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
  state.effects.push({
    type: "notifyDone",
    vms: [...job.vms],
    task: task.name,
  });
  releaseSteps(state, job);
}

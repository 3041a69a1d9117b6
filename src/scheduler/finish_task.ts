import { endJob } from "./end_job.ts";
import { releaseBlockedTasks } from "./release_blocked_tasks.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Marks a task as done. Ends the job as completed after its last task, or else releases the tasks that waited for this one. */
export function finishTask(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): void {
  const { job } = task;
  if (task.phase === "waiting") job.waitingTaskCount -= 1;
  task.phase = "done";
  job.openTaskCount -= 1;
  if (job.openTaskCount === 0) {
    endJob(state, job, { outcome: { type: "completed" }, nowMs });
    return;
  }
  state.effects.push({
    type: "notifyDone",
    vms: [...job.vms],
    task: task.name,
  });
  releaseBlockedTasks(state, job);
}

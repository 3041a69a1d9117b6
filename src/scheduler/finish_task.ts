import { changeTaskPhase } from "./change_task_phase.ts";
import { endJob } from "./end_job.ts";
import { releaseBlockedTasks } from "./release_blocked_tasks.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Marks a task as done, if it isn't yet. Ends the job as completed after its last task, or else releases the tasks that waited for this one. */
export function finishTask(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): void {
  const { job } = task;
  if (!changeTaskPhase(state, task, "finish")) return;
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

import { changeTaskPhase } from "./change_task_phase.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Changes blocked tasks to waiting once all tasks of the steps before them are done. */
export function releaseBlockedTasks(
  state: SchedulerState,
  job: ScheduledJob,
): void {
  // Called at the end of each task, and most jobs have one step.
  if (job.blockedTaskCount === 0) return;
  const isDone = job.order.steps.map(() => true);
  for (const task of job.tasks) {
    if (task.phase !== "done") isDone[task.step] = false;
  }
  for (const task of job.tasks) {
    if (task.phase !== "blocked") continue;
    const { after } = job.order.steps[task.step];
    if (!after.every((step) => isDone[step])) continue;
    changeTaskPhase(state, task, "release");
  }
}

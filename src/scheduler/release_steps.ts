import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Lets the tasks wait for room whose earlier steps are all done. */
export function releaseSteps(state: SchedulerState, job: ScheduledJob): void {
  const isDone = job.order.steps.map(() => true);
  for (const task of job.tasks) {
    if (task.phase !== "done") isDone[task.step] = false;
  }
  for (const task of job.tasks) {
    if (task.phase !== "blocked") continue;
    const { after } = job.order.steps[task.step];
    if (!after.every((step) => isDone[step])) continue;
    task.phase = "waiting";
    job.waitingCount += 1;
  }
  if (job.waitingCount > 0) state.waiting.add(job);
}

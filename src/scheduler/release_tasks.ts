import { changeTaskCount } from "./change_task_count.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Frees the tasks of a job that needs them no more: it is completed or evicted. Runs that endpoints still have keep their own tasks. */
export function releaseTasks(state: SchedulerState, job: ScheduledJob): void {
  changeTaskCount(state, job, -job.tasks.length);
  job.tasks = [];
}

import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Changes the number of tasks in memory by `change` tasks of the job. */
export function changeTaskCount(
  { taskCounts }: SchedulerState,
  { order }: ScheduledJob,
  change: number,
): void {
  taskCounts[order.isKept ? "stored" : "unstored"] += change;
}

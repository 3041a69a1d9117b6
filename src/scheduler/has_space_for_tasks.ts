import type { SchedulerState } from "./scheduler_state.ts";

/** Largest number of tasks in memory of stored jobs, and of best-effort jobs. A task takes about 1 KB, and the smallest VM's heap 160 MB. */
const MAX_TASKS = 30_000;

/** Whether the tasks of a further job may be kept in memory. */
export function hasSpaceForTasks(
  { taskCounts }: SchedulerState,
  job: { tasks: number; isKept: boolean },
): boolean {
  const known = job.isKept ? taskCounts.stored : taskCounts.unstored;
  return known + job.tasks <= MAX_TASKS;
}

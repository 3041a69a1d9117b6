import { MAX_TASKS_IN_MEMORY } from "./max_tasks_in_memory.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Whether the tasks of a further job may be kept in memory. */
export function hasSpaceForTasks(
  { taskCounts }: SchedulerState,
  job: { tasks: number; isKept: boolean },
): boolean {
  const known = job.isKept ? taskCounts.stored : taskCounts.unstored;
  return known + job.tasks <= MAX_TASKS_IN_MEMORY;
}

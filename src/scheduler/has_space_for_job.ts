import { MAX_TASKS_IN_MEMORY } from "./max_tasks_in_memory.ts";
import type { JobSize } from "./job_size.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Whether a further job may be kept in memory. One whose order alone is over the limit may be, where there is no other. */
export function hasSpaceForJob(
  { taskCounts, orderBytes, limits }: SchedulerState,
  job: JobSize & { isKept: boolean },
): boolean {
  const kind = job.isKept ? "stored" : "unstored";
  if (taskCounts[kind] + job.tasks > MAX_TASKS_IN_MEMORY) return false;
  const known = orderBytes[kind];
  return known === 0 || known + job.bytes <= limits.maxOrderBytes;
}

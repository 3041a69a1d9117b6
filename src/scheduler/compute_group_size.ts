import { MAX_DOUBTS } from "./max_doubts.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Most groups into which the tasks of one lost process are divided, which bounds how long the last of them waits. */
const MAX_GROUPS = 8;

/** Computes how many suspects may run beside each other at the endpoint that the task gets: all but one of many tasks that were lost together are not the cause, whereas a task that was lost again, or whose next start may be its last, runs alone. */
export function computeGroupSize(
  { lostRuns, doubtfulRuns }: ScheduledTask,
): number {
  const isLastStart = lostRuns.length + doubtfulRuns.length >= MAX_DOUBTS - 1;
  if (lostRuns.length !== 1 || isLastStart) return 1;
  return Math.ceil((lostRuns[0].others + 1) / MAX_GROUPS);
}

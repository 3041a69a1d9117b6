import { MAX_DOUBTS } from "./max_doubts.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether a task has lost runs, or all but one of the doubtful starts that it may have. */
export function isWatched(
  { lostRuns, doubtfulStarts }: ScheduledTask,
): boolean {
  return lostRuns.length > 0 || doubtfulStarts >= MAX_DOUBTS - 1;
}

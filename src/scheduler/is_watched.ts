import { MAX_DOUBTS } from "./max_doubts.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether a task has lost runs, or all but one of the doubtful starts that it may have. */
export function isWatched(
  { lostRuns, doubtfulRuns }: ScheduledTask,
): boolean {
  return lostRuns.length > 0 || doubtfulRuns.length >= MAX_DOUBTS - 1;
}

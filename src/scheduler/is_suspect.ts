import { countCrashes } from "./count_crashes.ts";
import { MAX_DOUBTS } from "./max_doubts.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Number of lost runs that make a task suspect although no endpoint is presumed to have crashed. */
const LOSSES_OF_SUSPECT = 2;

/** Whether a task may have crashed an endpoint, so that it starts only where nothing else runs. */
export function isSuspect(
  { lostRuns, doubtfulRuns }: ScheduledTask,
): boolean {
  if (lostRuns.length + doubtfulRuns.length >= MAX_DOUBTS - 1) return true;
  if (lostRuns.length === 0) return false;
  return lostRuns.length >= LOSSES_OF_SUSPECT ||
    countCrashes(lostRuns).all > 0;
}

import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether endpoints have, or may have, gone away after starts of the task. */
export function hasLostRuns(
  { lostRuns, doubtfulStarts }: ScheduledTask,
): boolean {
  return lostRuns.length > 0 || doubtfulStarts > 0;
}

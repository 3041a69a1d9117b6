import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether endpoints have, or may have, gone away after starts of the task. */
export function hasLostRuns(
  { lostRuns, doubtfulRuns }: ScheduledTask,
): boolean {
  return lostRuns.length > 0 || doubtfulRuns.length > 0;
}

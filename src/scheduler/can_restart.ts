import { hasUsedCrashes } from "./has_used_crashes.ts";
import { MAX_DOUBTS } from "./max_doubts.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Largest number of endpoints that may be away at a time with runs of a task of which it is not known whether the endpoints have crashed. */
const MAX_OPEN_LOSSES = 3;

/** Whether a task with lost runs or doubtful starts may be started at all for now. It waits while it is open whether its endpoints have crashed. */
export function canRestart(task: ScheduledTask): boolean {
  const { lostRuns, doubtfulRuns } = task;
  if (lostRuns.length >= MAX_OPEN_LOSSES) return false;
  if (hasUsedCrashes(task, { areProven: false })) return false;
  return lostRuns.length + doubtfulRuns.length < MAX_DOUBTS;
}

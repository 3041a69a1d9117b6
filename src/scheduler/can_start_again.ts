import { hasUsedCrashes } from "./has_used_crashes.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Largest number of endpoints that may be away at a time with runs of a task of which it is not known whether the endpoints have crashed. */
const MAX_OPEN_LOSSES = 3;

/**
 * Whether a task whose runs were lost with their endpoints may start again. A
 * stored job's task starts only once its losses are in the store, so that they
 * count under a later scheduler too.
 */
export function canStartAgain(task: ScheduledTask, nowMs: number): boolean {
  const { job, lostRuns } = task;
  if (lostRuns.length >= MAX_OPEN_LOSSES) return false;
  if (hasUsedCrashes(task, nowMs)) return false;
  return !job.order.isKept || job.savedLossChanges === job.lossChanges;
}

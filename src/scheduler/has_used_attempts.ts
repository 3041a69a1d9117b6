import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether the task has failed as many times as its job allows. */
export function hasUsedAttempts({ failedRuns, job }: ScheduledTask): boolean {
  return failedRuns.length >= job.order.maxAttempts;
}

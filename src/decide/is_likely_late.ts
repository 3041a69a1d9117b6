import type { ScheduledJob } from "../scheduler/scheduled_job.ts";

/** A job counts as in time only if its run may take this many times longer than expected. */
const MARGIN = 1.25;

/** Whether a job that would start now is likely to miss its objective. */
export function isLikelyLate(job: ScheduledJob, nowMs: number): boolean {
  return nowMs + job.criticalPathMs * MARGIN > job.objectiveMs;
}

import type { ScheduledJob } from "../scheduler/scheduled_job.ts";

/** Safety factor on the expected run time, which single runs exceed. */
const RUN_TIME_MARGIN_FACTOR = 1.25;

/** Returns whether a job that starts now is likely to miss its latency objective. */
export function isLikelyLate(job: ScheduledJob, nowMs: number): boolean {
  return nowMs + job.criticalPathMs * RUN_TIME_MARGIN_FACTOR > job.objectiveMs;
}

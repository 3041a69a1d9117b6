import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** How long an ended job stays in memory for callers that send their request again, and for rows of it that were read before its end was stored, in ms. */
const ENDED_JOB_RETENTION_MS = 10_000;

/** Whether an ended job may be evicted. A stored job stays until its end is in the store, however long that takes: until then its row is there, and a job that is not known would run again. */
export function canEvictJob(
  state: SchedulerState,
  { order, endedMs, endStoredMs }: ScheduledJob,
  nowMs: number,
): boolean {
  if (!order.isKept) return nowMs - endedMs > ENDED_JOB_RETENTION_MS;
  if (endStoredMs === undefined || state.isReadingStoredJobs) return false;
  return nowMs - endStoredMs > ENDED_JOB_RETENTION_MS;
}

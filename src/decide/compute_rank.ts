import type { ScheduledJob } from "../scheduler/scheduled_job.ts";

/** Further apart than any two arrival times, in ms. */
const TIER = 1e10;
/** Priorities below this many come before the next tier. */
const PRIORITIES = 100;

/**
 * Ranks a waiting job; the lowest goes first. Load it answers: more work than
 * room. Jobs that can still be in time go before those that are late already,
 * then by declared priority, then by arrival.
 */
export function computeRank(job: ScheduledJob, nowMs: number): number {
  const isLate = nowMs + job.chainMs > job.objectiveMs;
  const tier = (isLate ? PRIORITIES : 0) + job.order.priority;
  return tier * TIER + job.arrivedMs;
}

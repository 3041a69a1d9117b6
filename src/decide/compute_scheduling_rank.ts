import { isLikelyLate } from "./is_likely_late.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";

/** Further apart than any two arrival times, in ms. */
const TIER = 1e10;
/** Priorities below this many come before the next tier. */
const PRIORITIES = 100;

/**
 * Ranks a waiting job; the lowest goes first. Load it answers: more work than
 * room. Jobs that can still be in time go before those that are late already;
 * among each, those that have begun, as half a job serves nobody, then by
 * declared priority, then by arrival.
 */
export function computeSchedulingRank(
  job: ScheduledJob,
  nowMs: number,
): number {
  const group = (isLikelyLate(job, nowMs) ? 2 : 0) +
    (job.mayHaveStarted ? 0 : 1);
  const tier = group * PRIORITIES +
    Math.min(job.order.priority, PRIORITIES - 1);
  return tier * TIER + job.arrivedMs;
}

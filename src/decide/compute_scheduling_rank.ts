import { isLikelyLate } from "./is_likely_late.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";

/**
 * Distance between the ranks of two tiers, in ms; larger than the difference of
 * any two arrival times. A tier comprises the jobs that differ only by arrival.
 */
const TIER_DISTANCE_MS = 1e10;
/** Number of distinct job priorities; higher priority values count as the last one. */
const PRIORITY_COUNT = 100;

/**
 * Computes the rank of a waiting job; the job of the lowest rank starts first.
 * The rank matters when there is more work than capacity. Jobs that can still
 * meet their latency objective come before jobs that are likely to miss it.
 * Next come jobs that may have started, since a partly run job is of no use to
 * its caller, then lower priority values, then earlier arrivals.
 */
export function computeSchedulingRank(
  job: ScheduledJob,
  nowMs: number,
): number {
  const category = (isLikelyLate(job, nowMs) ? 2 : 0) +
    (job.mayHaveStarted ? 0 : 1);
  const tier = category * PRIORITY_COUNT +
    Math.min(job.order.priority, PRIORITY_COUNT - 1);
  return tier * TIER_DISTANCE_MS + job.arrivedMs;
}

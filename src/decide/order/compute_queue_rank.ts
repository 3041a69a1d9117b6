/**
 * Upper bound of the delay that a job gets for its size, so that long jobs
 * still meet their deadlines.
 */
const MAX_SIZE_DELAY_MS = 2_000;

/**
 * Computes the rank of a job among the jobs of its client; the lowest rank goes
 * first. The rank is the time of admission plus the expected work up to a
 * bound, all in ms, so that short jobs overtake long ones that were admitted
 * shortly before.
 */
export function computeQueueRank(admittedAtMs: number, workMs: number): number {
  return admittedAtMs + Math.min(MAX_SIZE_DELAY_MS, workMs);
}

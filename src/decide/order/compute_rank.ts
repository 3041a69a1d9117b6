/** Longest time by which jobs that came later may pass a job for its size, in ms. */
const MOST_SET_BACK_MS = 2_000;

/**
 * Computes a job's place among the jobs of its client: its admission, set back
 * by its expected work up to a bound, so that short jobs pass long ones and
 * long ones still meet their deadlines.
 */
export function computeRank(admittedAtMs: number, workMs: number): number {
  return admittedAtMs + Math.min(MOST_SET_BACK_MS, workMs);
}

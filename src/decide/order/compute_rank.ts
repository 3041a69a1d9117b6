/** How far ahead of a job of work w a job without work may cut in, as a multiple of w. */
const CUT_IN_FACTOR = 1;

/**
 * Computes a job's place among the jobs of its client: its admission, set back
 * by its expected work, so that short jobs pass long ones by a bounded time.
 */
export function computeRank(admittedAtMs: number, workMs: number): number {
  return admittedAtMs + CUT_IN_FACTOR * workMs;
}

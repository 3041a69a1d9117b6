/** Below this part done, progress is too coarse to tell the pace. */
const LEAST_PROGRESS = 0.05;

/**
 * Predicts when a run will end, in ms on the caller's clock, from the part of
 * it that is done. Load it answers: endpoints that turn slow, and tasks that
 * stand still, which a mean of past runs does not show.
 */
export function predictRunEndMs(run: {
  /** 0 to 1. */
  progress: number;
  elapsedMs: number;
  /** What the run was expected to take, in ms. */
  expectedMs: number;
  nowMs: number;
}): number {
  const { progress, elapsedMs, expectedMs, nowMs } = run;
  const pace = Math.max(progress, LEAST_PROGRESS);
  if (
    progress < LEAST_PROGRESS && elapsedMs < expectedMs * LEAST_PROGRESS * 2
  ) {
    return nowMs + expectedMs - elapsedMs;
  }
  return nowMs + elapsedMs / pace * (1 - progress);
}

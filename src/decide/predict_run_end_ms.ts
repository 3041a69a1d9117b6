/** Lowest progress from which the speed of a run is derived; lower values are too coarse. */
const MIN_PROGRESS = 0.05;

/**
 * Predicts when a run will end, on the clock of `nowMs`, from its progress.
 * Progress reveals slow endpoints and tasks that hang, which the mean time of
 * past runs does not.
 */
export function predictRunEndMs(run: {
  /** Completed part of the run, from 0 to 1. */
  progress: number;
  elapsedMs: number;
  /** Run time expected at the start of the run, in ms. */
  expectedMs: number;
  nowMs: number;
}): number {
  const { progress, elapsedMs, expectedMs, nowMs } = run;
  const countedProgress = Math.max(progress, MIN_PROGRESS);
  if (
    progress < MIN_PROGRESS && elapsedMs < expectedMs * MIN_PROGRESS * 2
  ) {
    return nowMs + expectedMs - elapsedMs;
  }
  return nowMs + elapsedMs / countedProgress * (1 - progress);
}

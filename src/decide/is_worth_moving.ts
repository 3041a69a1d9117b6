/** The time until the new run ends must be below this fraction of the current run's remaining time, since both are estimates. */
const MAX_TIME_FRACTION = 0.6;
/** Network time of the stop and start calls plus the time to find a free endpoint. */
const OVERHEAD_MS = 20;

/**
 * Returns whether a run that will be late should be stopped and started again
 * at another endpoint. Some endpoints become slow or stop making progress on a
 * task while others have free capacity.
 */
export function isWorthMoving(run: {
  /** Expected time until the current run ends. */
  remainingMs: number;
  /** Expected run time at another endpoint. */
  newRunMs: number;
  /** Longest time until the stop of the current run takes effect. */
  stopMs: number;
}): boolean {
  const restartMs = run.newRunMs + run.stopMs + OVERHEAD_MS;
  return restartMs < run.remainingMs * MAX_TIME_FRACTION;
}

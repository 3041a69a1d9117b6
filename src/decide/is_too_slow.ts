/** Timers later than this delay each step of each job noticeably, in ms. */
const LAG_MS = 30;
/** Another VM must be this many times faster for a change to be worth its cost. */
const GAIN = 4;

/**
 * Whether a scheduler should hand over because its VM is slow. Load it
 * answers: a VM that gets a fraction of its processor, through which all jobs
 * of the system would have to pass.
 */
export function isTooSlow(lagMs: number, successorLagMs: number): boolean {
  return lagMs > LAG_MS && lagMs > GAIN * successorLagMs;
}

/**
 * Mean event-loop delay above which a scheduler cannot keep up: several times
 * the network delay of a task start.
 */
const MAX_LOOP_DELAY_MS = 40;
/** The successor's event-loop delay must be below this fraction of the scheduler's delay. */
const SUCCESSOR_DELAY_FRACTION = 0.5;

/**
 * Returns whether a scheduler resigns in favour of its best successor because
 * its own event loop cannot keep up with the group's load, for example on a VM
 * that became slow.
 */
export function isSchedulerTooSlow(delays: {
  /** Mean event-loop delay of this scheduler, in ms. */
  delayMs: number;
  /** Mean event-loop delay of the best successor, in ms. */
  successorDelayMs: number;
}): boolean {
  return delays.delayMs > MAX_LOOP_DELAY_MS &&
    delays.successorDelayMs < delays.delayMs * SUCCESSOR_DELAY_FRACTION;
}

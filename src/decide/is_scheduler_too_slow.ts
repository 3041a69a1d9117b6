/** A scheduler whose loop turns later than this on average can't keep up, in ms: several times what a start takes on its way. */
const SLOW_MS = 40;
/** A successor's loop may be this part as late at most. */
const FASTER_PART = 0.5;

/**
 * Whether a scheduler hands over to its best successor because it can't keep
 * up. Load it answers: a VM that turns slow while its group's callers bring
 * what they always bring.
 */
export function isSchedulerTooSlow(own: {
  delayMs: number;
  /** The successor's. */
  successorDelayMs: number;
}): boolean {
  return own.delayMs > SLOW_MS &&
    own.successorDelayMs < own.delayMs * FASTER_PART;
}

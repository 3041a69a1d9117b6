/** A successor with this many times the processor time takes over from a scheduler without a fault. */
const STRONGER_FACTOR = 2;

/**
 * Whether a scheduler hands over to its best successor for its strength alone.
 * Load it answers: after a loss of all power the first VM up may be the weakest.
 */
export function isSchedulerTooWeak(own: number, best: number): boolean {
  return best >= own * STRONGER_FACTOR;
}

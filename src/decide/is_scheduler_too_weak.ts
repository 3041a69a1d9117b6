/**
 * A healthy scheduler is replaced only by a successor with at least this many
 * times its processor time.
 */
const MIN_STRENGTH_FACTOR = 2;

/**
 * Returns whether a scheduler resigns in favour of its best successor only
 * because that VM is stronger: after a power failure of the whole group the
 * weakest VM may be the first to start and become the scheduler.
 * Strengths are processor time in cores.
 */
export function isSchedulerTooWeak(
  ownStrength: number,
  successorStrength: number,
): boolean {
  return successorStrength >= ownStrength * MIN_STRENGTH_FACTOR;
}

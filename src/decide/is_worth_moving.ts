/** A fresh run must promise to take this part of what remains, as both times are estimates. */
const GAIN = 0.6;
/** Time for the stop's and the start's way and for finding a place, in ms. */
const OVERHEAD_MS = 20;

/**
 * Whether a run that will be late is worth starting again elsewhere. Load it
 * answers: some endpoints turn slow or let tasks stand still while others
 * have room.
 */
export function isWorthMoving(run: {
  remainingMs: number;
  /** Expected time of a fresh run elsewhere. */
  freshMs: number;
  /** Longest time until a stop has taken effect. */
  stopMs: number;
}): boolean {
  const againMs = run.freshMs + run.stopMs + OVERHEAD_MS;
  return againMs < run.remainingMs * GAIN;
}

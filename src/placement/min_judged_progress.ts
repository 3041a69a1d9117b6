/** Lowest progress from which the speed of a run is derived. */
export const MIN_JUDGED_PROGRESS = 0.02;

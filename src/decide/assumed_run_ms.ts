/** Run time that is assumed of a task of which none is known, in ms, where a wait or an amount of work has to be computed all the same. */
export const ASSUMED_RUN_MS = 1_000;

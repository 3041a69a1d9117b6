import type { LostRun } from "./lost_run.ts";

/** Counts the lost runs whose endpoints are presumed to have crashed: all, and those that count in full. */
export function countCrashes(
  lostRuns: LostRun[],
): { all: number; inFull: number } {
  const crashes = lostRuns.filter(({ hasCrashed }) => hasCrashed);
  const inFull = crashes.filter(({ countsInFull }) => countsInFull);
  return { all: crashes.length, inFull: inFull.length };
}

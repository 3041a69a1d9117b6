/** Lines of ordinary events a second up to which all are kept. */
const MOST_PER_SECOND = 150;
/** Beyond that, one request in this many keeps its lines; the same ones in every process. */
const KEEP_ONE_IN = 16;
const SECOND_MS = 1_000;

/**
 * Decides which lines of ordinary events are written, so that the volume is
 * bounded under load. A request is kept with all its lines, on every VM, as
 * its id decides.
 */
export function sampleEvents(): {
  isKept(requestId: string, nowMs: number): boolean;
  /** How many lines were left out. */
  countLeftOut(): number;
} {
  let second = 0;
  let count = 0;
  let leftOut = 0;

  return {
    isKept: (requestId, nowMs) => {
      const current = Math.floor(nowMs / SECOND_MS);
      if (current !== second) {
        second = current;
        count = 0;
      }
      count += 1;
      if (count <= MOST_PER_SECOND) return true;
      const isKept = parseInt(requestId.slice(-4), 16) % KEEP_ONE_IN === 0;
      if (!isKept) leftOut += 1;
      return isKept;
    },
    countLeftOut: () => leftOut,
  };
}

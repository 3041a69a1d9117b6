/** Number of lines of routine events in one second up to which every line is kept. */
const MAX_UNSAMPLED_LINES_PER_SECOND = 150;
/** Above that number, the lines of one request out of this many are kept. */
const SAMPLED_ONE_IN = 16;
const SECOND_MS = 1_000;

/**
 * Creates a sampler of the log lines of routine events, which bounds their
 * volume under load. Whether a request is sampled follows from the last four
 * hexadecimal digits of its id, so all VMs keep the lines of the same requests.
 */
export function sampleEvents(): {
  /** Whether a line of the request is to be written; counts the line. */
  isKept(requestId: string, nowMs: number): boolean;
  /** Returns how many lines were left out since the sampler was created. */
  countLeftOut(): number;
} {
  let second = 0;
  let linesInSecond = 0;
  let omittedLines = 0;

  return {
    isKept: (requestId, nowMs) => {
      const current = Math.floor(nowMs / SECOND_MS);
      if (current !== second) {
        second = current;
        linesInSecond = 0;
      }
      linesInSecond += 1;
      if (linesInSecond <= MAX_UNSAMPLED_LINES_PER_SECOND) return true;
      const isKept = parseInt(requestId.slice(-4), 16) % SAMPLED_ONE_IN === 0;
      if (!isKept) omittedLines += 1;
      return isKept;
    },
    countLeftOut: () => omittedLines,
  };
}

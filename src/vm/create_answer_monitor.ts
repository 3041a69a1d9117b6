/** Shortest time-out, in ms; a round trip takes 1 to 4 ms. */
const MIN_TIMEOUT_MS = 40;
/** Time-out before the first answer, in ms: connections are still being opened. */
const INITIAL_TIMEOUT_MS = 500;
/** Longest time-out after the first answer, in ms. */
const MAX_TIMEOUT_MS = 250;
/** Weight of the latest answer in the mean answer time. */
const MEAN_WEIGHT = 1 / 8;
/** Weight of the latest answer in the mean deviation of the answer times. */
const DEVIATION_WEIGHT = 1 / 4;
/** The time-out is the mean plus this many mean deviations. */
const DEVIATION_FACTOR = 4;
/** A time-out that is noticed later than this was caused by this process, which may have left the answer unread, in ms. */
const MAX_OWN_DELAY_MS = 20;
/** After a lost answer further ones are expected for this long, in ms. */
const LOSS_MEMORY_MS = 3_000;
/** How long an endpoint may hold back a listing until a run ends, in ms; a fraction of the lease. */
const LONG_POLL_MS = 250;
/** Long poll of an endpoint whose answers are being lost, in ms: nothing is known of its run ends until a lost listing has timed out. */
const LOSSY_LONG_POLL_MS = 60;

/** Creates a monitor of one endpoint's answers, from which the time-outs and long polls of its orders follow. */
export function createAnswerMonitor(): {
  /** Records how long an answer took that the endpoint did not hold back, in ms. */
  recordAnswer(tookMs: number): void;
  /** Records that an order was not answered in time. */
  recordLoss(order: { tookMs: number; timeoutMs: number; nowMs: number }): void;
  /** Computes the time-out of an order that has been sent `earlierSends` times before, in ms; it doubles with each. */
  computeTimeoutMs(earlierSends: number): number;
  /** Computes how long the endpoint may hold back its next listing, in ms. */
  computeLongPollMs(nowMs: number): number;
} {
  let meanMs: number | undefined;
  let deviationMs = 0;
  let lostMs = -Infinity;

  return {
    recordAnswer: (tookMs) => {
      if (meanMs === undefined) {
        meanMs = tookMs;
        deviationMs = tookMs / 2;
        return;
      }
      const distanceMs = Math.abs(tookMs - meanMs);
      deviationMs += (distanceMs - deviationMs) * DEVIATION_WEIGHT;
      meanMs += (tookMs - meanMs) * MEAN_WEIGHT;
    },
    recordLoss: ({ tookMs, timeoutMs, nowMs }) => {
      if (tookMs - timeoutMs <= MAX_OWN_DELAY_MS) lostMs = nowMs;
    },
    computeTimeoutMs: (earlierSends) => {
      if (meanMs === undefined) return INITIAL_TIMEOUT_MS;
      const timeoutMs = Math.max(
        MIN_TIMEOUT_MS,
        meanMs + DEVIATION_FACTOR * deviationMs,
      );
      return Math.min(MAX_TIMEOUT_MS, timeoutMs * 2 ** earlierSends);
    },
    computeLongPollMs: (nowMs) =>
      nowMs - lostMs < LOSS_MEMORY_MS ? LOSSY_LONG_POLL_MS : LONG_POLL_MS,
  };
}

import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Ticker } from "./ticker.ts";

/** How often the loop is asked to turn, in ms. */
const TURN_MS = 100;
/** Weight of the latest turn in the mean: about the last half second counts. */
const WEIGHT = 0.3;
/** One turn counts as no later than this, in ms: a pause that is over says little of what comes. */
const MOST_LATE_MS = 120;

/** Watches how late this process's loop turns, as a sign of what its VM's processor still carries. */
export function createLoopWatch(
  ticker: Ticker,
): { readDelayMs(): number; stop(): void } {
  let dueMs = readMonotonicMs() + TURN_MS;
  let delayMs = 0;

  function measure(): void {
    const nowMs = readMonotonicMs();
    const lateMs = Math.min(MOST_LATE_MS, Math.max(0, nowMs - dueMs));
    delayMs += (lateMs - delayMs) * WEIGHT;
    dueMs = nowMs + TURN_MS;
  }

  const stop = ticker.every(TURN_MS, measure);
  return {
    readDelayMs: () => Math.round(delayMs),
    stop,
  };
}

import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Ticker } from "./ticker.ts";

/** Interval between two samples, in ms. */
const SAMPLE_INTERVAL_MS = 100;
/** Weight of the latest sample in the moving mean, which then covers about the last half second. */
const LATEST_SAMPLE_WEIGHT = 0.3;
/** Upper bound of one sample, in ms: a single long pause says little about the load to come. */
const MAX_SAMPLE_DELAY_MS = 120;

/** Creates a monitor of this process's event-loop delay (how late timers fire, as a moving mean in ms), which shows how loaded its VM's processor is. */
export function createEventLoopMonitor(
  ticker: Ticker,
): { readDelayMs(): number; stop(): void } {
  let dueMs = readMonotonicMs() + SAMPLE_INTERVAL_MS;
  let meanDelayMs = 0;

  function measure(): void {
    const nowMs = readMonotonicMs();
    const sampleDelayMs = Math.min(
      MAX_SAMPLE_DELAY_MS,
      Math.max(0, nowMs - dueMs),
    );
    meanDelayMs += (sampleDelayMs - meanDelayMs) * LATEST_SAMPLE_WEIGHT;
    dueMs = nowMs + SAMPLE_INTERVAL_MS;
  }

  const stop = ticker.every(SAMPLE_INTERVAL_MS, measure);
  return {
    readDelayMs: () => Math.round(meanDelayMs),
    stop,
  };
}

import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** How often the loop's delay is sampled, in ms. */
const SAMPLE_MS = 25;
/** Weight of the newest sample: half a second of delays shows. */
const WEIGHT = 0.1;

/** Measures how late this process's timers run: the mean delay of the last moments, in ms. */
export function measureLag(): { read(): number; stop(): void } {
  let meanMs = 0;
  let dueMs = readMonotonicMs() + SAMPLE_MS;
  const timer = setInterval(() => {
    const nowMs = readMonotonicMs();
    meanMs += (Math.max(0, nowMs - dueMs) - meanMs) * WEIGHT;
    dueMs = nowMs + SAMPLE_MS;
  }, SAMPLE_MS);
  return { read: () => meanMs, stop: () => clearInterval(timer) };
}

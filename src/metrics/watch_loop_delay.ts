import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Registry } from "./registry.ts";

/** Interval of the measurements, in ms. Each measurement wakes the process up, so a shorter interval would cost CPU time. */
const MEASURE_INTERVAL_MS = 500;

/** Records the event-loop delay: how much later than due a timer fires because other work occupies the process. */
export function watchLoopDelay(registry: Registry): void {
  let dueMs = readMonotonicMs() + MEASURE_INTERVAL_MS;
  const timer = setInterval(() => {
    const nowMs = readMonotonicMs();
    registry.observe("loop_delay_ms", Math.max(0, nowMs - dueMs));
    dueMs = nowMs + MEASURE_INTERVAL_MS;
  }, MEASURE_INTERVAL_MS);
  timer.unref();
}

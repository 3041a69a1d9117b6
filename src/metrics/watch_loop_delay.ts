import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Registry } from "./registry.ts";

/** How often the delay is measured, in ms; each time is one more wake-up of the process. */
const EVERY_MS = 500;

/** Observes how much later than asked a timer fires: how long other work keeps the process. */
export function watchLoopDelay(registry: Registry): void {
  let dueMs = readMonotonicMs() + EVERY_MS;
  const timer = setInterval(() => {
    const nowMs = readMonotonicMs();
    registry.observe("loop_delay_ms", Math.max(0, nowMs - dueMs));
    dueMs = nowMs + EVERY_MS;
  }, EVERY_MS);
  timer.unref();
}

import type { ClockReading } from "./clock_reading.ts";

/** Reads the monotonic and the wall clock of the runtime together, in ms. */
export function readClock(): ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}

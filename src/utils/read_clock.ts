import { readMonotonicMs } from "./read_monotonic_ms.ts";
import type { ClockReading } from "./clock_reading.ts";

/** Reads the monotonic clock and the wall clock of the process together, in ms. */
export function readClock(): ClockReading {
  return { monotonicMs: readMonotonicMs(), wallMs: Date.now() };
}

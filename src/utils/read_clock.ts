import { readMonotonicMs } from "./read_monotonic_ms.ts";
import type { ClockReading } from "./clock_reading.ts";

/** Reads the monotonic and the wall clock of the runtime together, in ms. */
export function readClock(): ClockReading {
  return { monotonicMs: readMonotonicMs(), wallMs: Date.now() };
}

import type { ClockReading } from "../../utils/clock_reading.ts";
import { computeCutOffMs } from "./compute_cut_off_ms.ts";
import type { LeaseState } from "./lease_state.ts";

/** Whether the platform has been silent for so long that jobs start from memory. */
export function isCutOff(lease: LeaseState, clock: ClockReading): boolean {
  const silentMs = clock.monotonicMs - lease.heardAtMs;
  return lease.phase === "held" && silentMs >= computeCutOffMs(lease.leaseMs);
}

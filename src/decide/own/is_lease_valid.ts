import type { ClockReading } from "../../utils/clock_reading.ts";
import type { LeaseState } from "./lease_state.ts";

/** Whether the process may start tasks at this moment. */
export function isLeaseValid(lease: LeaseState, clock: ClockReading): boolean {
  return lease.phase === "held" &&
    clock.monotonicMs < lease.validUntilMonotonicMs &&
    clock.wallMs < lease.validUntilWallMs;
}

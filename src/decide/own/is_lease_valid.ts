import type { ClockReading } from "../../utils/clock_reading.ts";
import type { LeaseState } from "./lease_state.ts";

/** Returns whether this process's lease is valid on both clocks, so that it may start tasks. */
export function isLeaseValid(lease: LeaseState, clock: ClockReading): boolean {
  return lease.phase === "held" &&
    clock.monotonicMs < lease.validUntilMonotonicMs &&
    clock.wallMs < lease.validUntilWallMs;
}

import type { ClockReading } from "../../utils/clock_reading.ts";
import { computeCutOffMs } from "./compute_cut_off_ms.ts";
import type { LeaseState } from "./lease_state.ts";

/**
 * Returns whether the process is cut off from the platform and starts jobs
 * without a durable claim.
 */
export function isCutOff(lease: LeaseState, clock: ClockReading): boolean {
  const unansweredMs = clock.monotonicMs - lease.platformAnsweredAtMs;
  return lease.phase === "held" &&
    unansweredMs >= computeCutOffMs(lease.leaseMs);
}

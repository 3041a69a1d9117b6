import type { LeasePhase } from "./lease_phase.ts";

/** State of this process's lease. */
export type LeaseState = {
  phase: LeasePhase;
  incarnation: string;
  /** Revision of the lease row after the latest confirmed write. */
  revision: number;
  /** Duration of the lease after each renewal. */
  leaseMs: number;
  /** End of the lease on the monotonic clock, in ms. */
  validUntilMonotonicMs: number;
  /**
   * End of the lease on the wall clock, in Unix ms. Unlike the monotonic clock,
   * it advances while the VM is suspended.
   */
  validUntilWallMs: number;
  /** Monotonic time at which the platform last answered a write of any kind, in ms. */
  platformAnsweredAtMs: number;
  /** Latest confirmed renewal on the platform's clock, in Unix ms. */
  ackedAtMs: number;
  /** See `LeaseRow`. */
  coveredUntilMs: number;
};

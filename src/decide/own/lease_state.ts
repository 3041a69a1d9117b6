import type { LeasePhase } from "./lease_phase.ts";

/** A process's own lease as it knows it. */
export type LeaseState = {
  phase: LeasePhase;
  incarnation: string;
  /** The revision of the lease row as last written. */
  revision: number;
  leaseMs: number;
  /** The lease holds until then on the monotonic clock, in ms. */
  validUntilMonotonicMs: number;
  /** And until then on the wall clock, which also runs while the VM is suspended. */
  validUntilWallMs: number;
  /** When the platform last answered a write of any kind, monotonic, in ms. */
  heardAtMs: number;
  /** Platform time of the latest confirmed renewal, in Unix ms. */
  ackedAtMs: number;
  /** See the lease row. */
  coveredUntilMs: number;
};

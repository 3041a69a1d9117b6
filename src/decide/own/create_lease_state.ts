import { leaseChart } from "../../charts/lease_chart.ts";
import type { LeaseState } from "./lease_state.ts";

/** Creates the lease state of a process that has not acquired a lease yet. */
export function createLeaseState(incarnation: string): LeaseState {
  return {
    phase: leaseChart.initial,
    incarnation,
    revision: 0,
    leaseMs: 0,
    validUntilMonotonicMs: 0,
    validUntilWallMs: 0,
    platformAnsweredAtMs: 0,
    ackedAtMs: 0,
    coveredUntilMs: 0,
  };
}

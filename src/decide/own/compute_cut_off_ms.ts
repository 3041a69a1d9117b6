import { computeRenewalMs } from "./compute_renewal_ms.ts";

/** Missed renewals after which a process takes itself for cut off. */
const MISSED_RENEWALS = 4;

/** Computes how long after its last confirmation a process may start jobs from memory, in ms. */
export function computeCutOffMs(leaseMs: number): number {
  return MISSED_RENEWALS * computeRenewalMs(leaseMs);
}

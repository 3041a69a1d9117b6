import { computeRenewalMs } from "./compute_renewal_ms.ts";

/**
 * Renewal intervals without an answer after which a process considers itself
 * cut off from the platform.
 */
const MISSED_RENEWALS = 4;

/**
 * Computes the time since the last answer of the platform, in ms, after which a
 * process is cut off and starts jobs without a durable claim.
 */
export function computeCutOffMs(leaseMs: number): number {
  return MISSED_RENEWALS * computeRenewalMs(leaseMs);
}

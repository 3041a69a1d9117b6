/** Renewals during one lease, unless the bounds on the interval apply. */
const RENEWALS_PER_LEASE = 10;
const MIN_RENEWAL_MS = 300;
const MAX_RENEWAL_MS = 2_000;

/** Computes the interval between two renewals of a lease, in ms. */
export function computeRenewalMs(leaseMs: number): number {
  const intervalMs = leaseMs / RENEWALS_PER_LEASE;
  return Math.min(MAX_RENEWAL_MS, Math.max(MIN_RENEWAL_MS, intervalMs));
}

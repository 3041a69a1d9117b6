/** Renewals that fit in a lease, when it is long enough for them. */
const RENEWALS_PER_LEASE = 10;
const LEAST_RENEWAL_MS = 300;
const MOST_RENEWAL_MS = 2_000;

/** Computes how often a lease is renewed, in ms. */
export function computeRenewalMs(leaseMs: number): number {
  const evenlyMs = leaseMs / RENEWALS_PER_LEASE;
  return Math.min(MOST_RENEWAL_MS, Math.max(LEAST_RENEWAL_MS, evenlyMs));
}

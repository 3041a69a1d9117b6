/** Time after the end of a lease, in ms, before other processes treat it as expired. */
export const LEASE_MARGIN_MS = 1_000;

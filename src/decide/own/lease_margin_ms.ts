/** Waited after a lease's end before another process relies on it, in ms. */
export const LEASE_MARGIN_MS = 1_000;

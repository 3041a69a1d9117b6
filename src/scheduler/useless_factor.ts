/** An answer is useless to the caller after this many times the latency objective. */
export const USELESS_FACTOR = 3;

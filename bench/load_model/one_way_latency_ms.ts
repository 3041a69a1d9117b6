/** One-way network latency of the load model, in ms. */
export const ONE_WAY_LATENCY_MS = 1.5;

/** Runs what recurs in a VM's process together, so that it wakes the process once. */
export type Ticker = {
  /** Runs something each so many ms, rounded up to whole ticks, until the result is called. */
  every(durationMs: number, run: () => void): () => void;
  stop(): void;
};

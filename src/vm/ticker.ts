/** Runs the periodic work of a VM's process on common ticks, which wakes the process less often than separate timers. */
export type Ticker = {
  /** Calls `run` at an interval of `durationMs`, rounded up to whole ticks, until the result is called. */
  every(durationMs: number, run: () => void): () => void;
  /** Stops all periodic work. */
  stop(): void;
};

/** One reading of both clocks; every decision takes its time from one. */
export type ClockReading = {
  /** Milliseconds since the process began; never set back. */
  monotonicMs: number;
  /** Milliseconds since the Unix epoch; may be off by the stated skew. */
  wallMs: number;
};

/** The monotonic clock and the wall clock, read together. Each decision uses one reading for all its times. */
export type ClockReading = {
  /** Milliseconds since the start of the process; never decreases. */
  monotonicMs: number;
  /** Milliseconds since the Unix epoch. Clocks of different VMs may differ by up to the configured `clockSkewMs`. */
  wallMs: number;
};

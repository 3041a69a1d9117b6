/** Sends counters, durations and gauges to a StatsD address; does nothing when none is set. */
export type Metrics = {
  /** Adds to a counter. */
  increment(name: string, by?: number): void;
  /** Records a duration, in ms. */
  time(name: string, durationMs: number): void;
  /** Sets a gauge. */
  gauge(name: string, level: number): void;
  /** Sends what is buffered and closes the socket. */
  close(): void;
};

/** Counts and times events towards a StatsD address; does nothing without one. */
export type Metrics = {
  /** Adds to a counter. */
  increment(name: string, by?: number): void;
  /** Records a duration, in ms. */
  time(name: string, durationMs: number): void;
  /** Sets a level. */
  gauge(name: string, level: number): void;
  close(): void;
};

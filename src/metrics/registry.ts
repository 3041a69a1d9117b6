/** Counters, latency histograms and levels of a process, read as text by whoever scrapes it. */
export type Registry = {
  /** Adds one to a counter; the labels are part of its identity. */
  count(name: string, labels?: Record<string, string>): void;
  /** Records a duration, in ms. */
  observe(name: string, durationMs: number): void;
  /** Registers a level that is read when the metrics are. */
  setLevel(name: string, read: () => number): void;
  /** Registers levels that are there only at times, all read when the metrics are. */
  addLevels(read: () => Record<string, number>): void;
  /** All metrics in the text exposition format. */
  formatText(): string;
};

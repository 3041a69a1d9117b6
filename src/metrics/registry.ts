/** Counters, latency histograms and gauges of a process, which a scraper reads as text. */
export type Registry = {
  /** Adds one to a counter; each set of labels is a counter of its own. */
  count(name: string, labels?: Record<string, string>): void;
  /** Creates a counter that changes often; each call of the result adds one. */
  createCounter(name: string, labels?: Record<string, string>): () => void;
  /** Records a duration, in ms, in a histogram. */
  observe(name: string, durationMs: number): void;
  /** Registers a gauge; `read` is called at each scrape. */
  setLevel(name: string, read: () => number): void;
  /** Registers gauges that may come and go; at each scrape, `read` returns those that exist at that time, by name, followed by formatted labels if there are any. */
  addLevels(read: () => Record<string, number>): void;
  /** Returns all metrics in the Prometheus text exposition format. */
  formatText(): string;
};

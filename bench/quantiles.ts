/** Quantiles of a set of ratios or times. */
export type Quantiles = {
  p50: number;
  p90: number;
  p99: number;
  p999: number;
  /** Number of values. */
  count: number;
};

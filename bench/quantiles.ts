/** Quantiles of a ratio or a time. */
export type Quantiles = {
  p50: number;
  p90: number;
  p99: number;
  p999: number;
  count: number;
};

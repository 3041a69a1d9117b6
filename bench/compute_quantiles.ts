import { build } from "hdr-histogram-js";
import type { Quantiles } from "./quantiles.ts";

/** The histogram holds integers; values are recorded in units of 1/1,000. */
const UNITS_PER_VALUE = 1_000;

/** Computes quantiles with an HDR histogram of three significant digits; all are 0 when there are no values. */
export function computeQuantiles(values: number[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) {
    histogram.recordValue(Math.max(1, Math.round(value * UNITS_PER_VALUE)));
  }
  const readQuantile = (percentile: number) =>
    values.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / UNITS_PER_VALUE;
  return {
    p50: readQuantile(50),
    p90: readQuantile(90),
    p99: readQuantile(99),
    p999: readQuantile(99.9),
    count: values.length,
  };
}

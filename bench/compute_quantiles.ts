import { build } from "hdr-histogram-js";
import type { Quantiles } from "./quantiles.ts";

/** Values are kept to a thousandth. */
const SCALE = 1_000;

/** Computes the quantiles of values through an HDR histogram. */
export function computeQuantiles(values: number[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) {
    histogram.recordValue(Math.max(1, Math.round(value * SCALE)));
  }
  const read = (percentile: number) =>
    values.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / SCALE;
  return {
    p50: read(50),
    p90: read(90),
    p99: read(99),
    p999: read(99.9),
    count: values.length,
  };
}

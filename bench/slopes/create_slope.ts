import type { Slope } from "./slope.ts";

/** Creates a slope by fitting a line to each value over the sizes. */
export function createSlope(
  name: string,
  unit: string,
  points: Slope["points"],
): Slope {
  const fits: Slope["fits"] = {};
  for (const key of Object.keys(points[0].values)) {
    fits[key] = computeLinearFit(
      points.map(({ size, values }) => ({ x: size, y: values[key] })),
    );
  }
  return { name, unit, points, fits };
}

/** Fits a line by least squares. */
function computeLinearFit(
  points: { x: number; y: number }[],
): { perUnit: number; base: number } {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const perUnit = covariance / variance;
  return { perUnit, base: meanY - perUnit * meanX };
}

import type { Slope } from "./slope.ts";

/** Creates a slope by fitting a line through each of the points' values. */
export function createSlope(
  name: string,
  unit: string,
  points: Slope["points"],
): Slope {
  const fits: Slope["fits"] = {};
  for (const key of Object.keys(points[0].values)) {
    fits[key] = computeLine(
      points.map(({ size, values }) => ({ x: size, y: values[key] })),
    );
  }
  return { name, unit, points, fits };
}

function computeLine(
  points: { x: number; y: number }[],
): { perUnit: number; base: number } {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let above = 0;
  let below = 0;
  for (const { x, y } of points) {
    above += (x - meanX) * (y - meanY);
    below += (x - meanX) ** 2;
  }
  const perUnit = above / below;
  return { perUnit, base: meanY - perUnit * meanX };
}

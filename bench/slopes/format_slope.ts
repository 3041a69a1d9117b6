import type { Slope } from "./slope.ts";

/** Formats the measured points and the fits of a slope as text. */
export function formatSlope(slope: Slope): string {
  const lines = slope.points.map(({ size, values }) =>
    `  ${size} ${slope.unit}: ${
      Object.entries(values)
        .map(([key, value]) => `${key} ${formatNumber(value)}`)
        .join(", ")
    }`
  );
  const fits = Object.entries(slope.fits).map(([key, { perUnit, base }]) =>
    `  ${key}: ${formatNumber(perUnit)} per unit, ${formatNumber(base)} at zero`
  );
  return [slope.name, ...lines, ...fits].join("\n");
}

function formatNumber(value: number): string {
  return Number(value.toPrecision(3)).toString();
}

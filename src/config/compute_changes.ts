import type { ConfigurationChange } from "./configuration_change.ts";

/** Computes the leaves that differ between two configurations. */
export function computeChanges(
  before: unknown,
  after: unknown,
  path = "",
): ConfigurationChange[] {
  if (!isObject(before) || !isObject(after)) {
    const same = JSON.stringify(before) === JSON.stringify(after);
    return same ? [] : [{ path, before, after }];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].sort().flatMap((key) =>
    computeChanges(before[key], after[key], path ? `${path}.${key}` : key)
  );
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

import { isPlainObject } from "../utils/is_plain_object.ts";
import type { ConfigurationChange } from "./configuration_change.ts";

/** Computes the leaves that differ between two configurations, sorted by key; `path` is the prefix of their paths. An array counts as one leaf. */
export function computeChanges(
  before: unknown,
  after: unknown,
  path = "",
): ConfigurationChange[] {
  if (!isPlainObject(before) || !isPlainObject(after)) {
    const same = JSON.stringify(before) === JSON.stringify(after);
    return same ? [] : [{ path, before, after }];
  }
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].sort().flatMap((key) =>
    computeChanges(before[key], after[key], path ? `${path}.${key}` : key)
  );
}

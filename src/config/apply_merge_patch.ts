import { isPlainObject } from "../utils/is_plain_object.ts";

/** Returns `target` with a JSON merge patch (RFC 7396) applied; null in the patch removes a member. `target` is not changed. */
export function applyMergePatch(target: unknown, patch: unknown): unknown {
  if (!isPlainObject(patch)) return patch;
  const merged: Record<string, unknown> = isPlainObject(target)
    ? { ...target }
    : {};
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) delete merged[key];
    else merged[key] = applyMergePatch(merged[key], value);
  }
  return merged;
}

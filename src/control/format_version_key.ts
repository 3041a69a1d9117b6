/** Digits to which the version in a row key is padded, so that keys sort in numeric order. */
const VERSION_DIGITS = 10;

/**
 * Formats the table key of a version's record, or the common prefix of these
 * keys when no version is given.
 */
export function formatVersionKey(version?: number): string {
  const prefix = "version/";
  if (version === undefined) return prefix;
  return prefix + String(version).padStart(VERSION_DIGITS, "0");
}

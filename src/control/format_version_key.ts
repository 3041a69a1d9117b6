/** Digits of a version in a row key, so that keys sort by number. */
const VERSION_DIGITS = 10;

/** Formats the table key of a version's record; without a version, the prefix of all. */
export function formatVersionKey(version?: number): string {
  const prefix = "version/";
  if (version === undefined) return prefix;
  return prefix + String(version).padStart(VERSION_DIGITS, "0");
}

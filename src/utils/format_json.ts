/** Formats a value as JSON with sorted keys, so that equal values have equal texts. Members that are undefined are left out. */
export function formatJson(value: unknown): string {
  if (value === null || typeof value !== "object") {
    return JSON.stringify(value) ?? "null";
  }
  if (Array.isArray(value)) {
    return `[${value.map(formatJson).join(",")}]`;
  }
  const members = Object.entries(value)
    .filter(([, member]) => member !== undefined)
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([key, member]) => `${JSON.stringify(key)}:${formatJson(member)}`);
  return `{${members.join(",")}}`;
}

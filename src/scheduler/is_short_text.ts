/** Longest text that names something, in characters. */
const MAX_TEXT_LENGTH = 500;

/** Whether a value from outside this process is a text that may name something. */
export function isShortText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}

/** Decodes `count` flags from a base64 text of one bit a flag; flags beyond the text are false, and all are if the value is no text. */
export function decodeFlags(text: unknown, count: number): boolean[] {
  const bytes = Buffer.from(typeof text === "string" ? text : "", "base64");
  return Array.from(
    { length: count },
    (_, index) => ((bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0,
  );
}

/** Decodes `count` flags from a base64 text of one bit a flag; flags beyond the text are false. */
export function decodeFlags(text: string, count: number): boolean[] {
  const bytes = Buffer.from(text, "base64");
  return Array.from(
    { length: count },
    (_, index) => ((bytes[index >> 3] ?? 0) & (1 << (index & 7))) !== 0,
  );
}

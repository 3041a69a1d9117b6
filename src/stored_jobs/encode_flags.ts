/** Encodes flags as a base64 text of one bit a flag. */
export function encodeFlags(flags: boolean[]): string {
  const bytes = Buffer.alloc(Math.ceil(flags.length / 8));
  flags.forEach((flag, index) => {
    if (flag) bytes[index >> 3] |= 1 << (index & 7);
  });
  return bytes.toString("base64");
}

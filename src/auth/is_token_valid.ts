import { createHash, timingSafeEqual } from "node:crypto";

/** Whether an Authorization header carries the token of a digest; takes the same time for any token. */
export function isTokenValid(
  header: string | undefined,
  tokenDigest: string,
): boolean {
  const token = header?.startsWith("Bearer ") ? header.slice(7) : "";
  const given = createHash("sha256").update(token).digest();
  return timingSafeEqual(given, Buffer.from(tokenDigest, "hex"));
}

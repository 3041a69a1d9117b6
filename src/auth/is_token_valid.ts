import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Whether an Authorization header has the bearer token with this SHA-256 (in
 * hexadecimal). The comparison takes the same time for every token, so its
 * duration does not reveal the digest.
 */
export function isTokenValid(
  header: string | undefined,
  tokenDigest: string,
): boolean {
  const token = header?.startsWith("Bearer ") ? header.slice(7) : "";
  const sentDigest = createHash("sha256").update(token).digest();
  return timingSafeEqual(sentDigest, Buffer.from(tokenDigest, "hex"));
}

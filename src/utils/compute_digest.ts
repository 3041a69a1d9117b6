import { createHash } from "node:crypto";

/** Computes the SHA-256 of a text, in hexadecimal. */
export function computeDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

import { computeDigest } from "../utils/compute_digest.ts";
import { formatJson } from "../utils/format_json.ts";
import type { VersionRecord } from "./version_record.ts";

/** Computes the SHA-256 of a version record without its digest. As the record has the digest of the preceding version, the digests form a chain. */
export function computeVersionDigest(
  record: Omit<VersionRecord, "digest">,
): string {
  const { digest: _, ...digested } = record as VersionRecord;
  return computeDigest(formatJson(digested));
}

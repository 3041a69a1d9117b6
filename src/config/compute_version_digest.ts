import { computeDigest } from "../utils/compute_digest.ts";
import { formatJson } from "../utils/format_json.ts";
import type { VersionRecord } from "./version_record.ts";

/** Computes the digest that chains a version to the one before it. */
export function computeVersionDigest(
  record: Omit<VersionRecord, "digest">,
): string {
  const { digest: _, ...chained } = record as VersionRecord;
  return computeDigest(formatJson(chained));
}

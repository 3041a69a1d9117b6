import type { VersionRecord } from "../config/version_record.ts";
import type { Table } from "../store/table.ts";
import { formatVersionKey } from "./format_version_key.ts";

/** Loads the records of all versions, oldest first, and the platform's time (`nowMs`, Unix ms). */
export async function loadVersions(
  table: Table,
): Promise<{ records: VersionRecord[]; nowMs: number }> {
  const scan = await table.scan(formatVersionKey(), 0);
  const records = scan.rows.map((row) => row.value as VersionRecord);
  return { records, nowMs: scan.atMs };
}

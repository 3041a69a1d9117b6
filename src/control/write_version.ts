import type { VersionRecord } from "../config/version_record.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { formatVersionKey } from "./format_version_key.ts";

/** Maximum number of attempts at a write whose replies are lost. */
const MAX_ATTEMPTS = 5;
/** Pause between two attempts, in ms. */
const RETRY_DELAY_MS = 200;

/**
 * Writes a version's record and updates the head to this version in one
 * transaction. Returns false when another patch was written first, and rejects
 * when the outcome is still unknown after the last attempt.
 */
export async function writeVersion(
  table: Table,
  record: VersionRecord,
): Promise<boolean> {
  for (let attempt = 1;; attempt += 1) {
    try {
      return await tryWrite(table, record);
    } catch (thrown) {
      if (attempt === MAX_ATTEMPTS) throw thrown;
      await waitMs(RETRY_DELAY_MS);
    }
  }
}

async function tryWrite(
  table: Table,
  record: VersionRecord,
): Promise<boolean> {
  const key = formatRowKey("head");
  const value = { version: record.version };
  const scan = await table.scan(key, 0);
  const head = scan.rows[0];
  const headWrite: TableOperation = head
    ? { type: "replace", key, value, revision: head.revision }
    : { type: "insert", key, value };
  const recordKey = formatVersionKey(record.version);
  const result = await table.transact([
    { type: "insert", key: recordKey, value: record },
    headWrite,
  ]);
  if (result.type === "committed") return true;
  const written = await table.scan(recordKey, 0);
  const found = written.rows[0]?.value as VersionRecord | undefined;
  return found?.digest === record.digest;
}

import type { Table } from "../store/table.ts";
import { isPlainObject } from "../utils/is_plain_object.ts";
import type { EndRecord } from "./end_record.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** End records that one transaction deletes; a transaction may have 100 entries. */
const MAX_ROWS_PER_TRANSACTION = 90;

/** Deletes the end records that are past their retention period and returns how many there were. */
export async function dropExpiredEndRecords(
  table: Table,
  options: {
    /** End records of jobs that ended before this are deleted, in Unix ms. */
    endedBeforeMs: number;
    /** Key of the scheduler row, which names the role holder. */
    roleKey: string;
    /** Revision of the scheduler row; nothing is deleted once another process has taken over the scheduler role. */
    roleRevision: number;
  },
): Promise<number> {
  const { rows } = await table.scan(STORED_JOB_KEYS.ends, 0);
  // A record that cannot be read has no time, and stays.
  const expired = rows.filter(({ value }) =>
    isPlainObject(value) &&
    (value as EndRecord).endedAtMs < options.endedBeforeMs
  );
  const keys = expired.map(({ key }) => key);
  for (let from = 0; from < keys.length; from += MAX_ROWS_PER_TRANSACTION) {
    await table.transact([
      {
        type: "check",
        key: options.roleKey,
        revision: options.roleRevision,
      },
      ...keys.slice(from, from + MAX_ROWS_PER_TRANSACTION)
        .map((key) => ({ type: "delete", key }) as const),
    ]);
  }
  return keys.length;
}

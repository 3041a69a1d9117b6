import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import type { EndRecord } from "./end_record.ts";
import { readStoredRow } from "./read_stored_row.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Maximum number of attempts. The first may conflict as the job is stored at the same time, the second as it ends; the third finds the end record. */
const MAX_ATTEMPTS = 3;

/**
 * Cancels a stored job; false when no job of that id is stored. In that case
 * the job is withdrawn: a write of it that takes effect later stores nothing.
 * Rejects when the store does not answer.
 */
export async function cancelStoredJob(
  table: Table,
  id: string,
): Promise<boolean> {
  const key = STORED_JOB_KEYS.formatJob(id);
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const row = await readStoredRow(table, key);
    if (!row) {
      const end = await readStoredRow(table, STORED_JOB_KEYS.formatEnd(id));
      if (end) return (end.value as EndRecord).state !== "withdrawn";
    }
    const operations = row
      ? createCancelRequest(id, row.revision)
      : createWithdrawal(id);
    const result = await table.transact(operations);
    if (result.type === "committed") return row !== undefined;
  }
  throw new ChivegradeError("platformUnavailable", {
    found: `The rows of the job ${id} changed during each attempt to cancel it`,
    remedy: "Send the request again",
  });
}

/** Creates the operations that ask the scheduler to end a stored job. */
function createCancelRequest(id: string, revision: number): TableOperation[] {
  return [
    // The scheduler deletes the cancel request together with the job's row,
    // so that none may be written once that row is gone.
    { type: "check", key: STORED_JOB_KEYS.formatJob(id), revision },
    { type: "write", key: STORED_JOB_KEYS.formatCancel(id), value: {} },
  ];
}

/** Creates the operations that keep a job from being stored: that requires that it has no end record. */
function createWithdrawal(id: string): TableOperation[] {
  const value: EndRecord = { state: "withdrawn", endedAtMs: Date.now() };
  return [
    { type: "check", key: STORED_JOB_KEYS.formatJob(id), revision: 0 },
    { type: "insert", key: STORED_JOB_KEYS.formatEnd(id), value },
  ];
}

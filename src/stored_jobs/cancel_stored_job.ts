import type { Table } from "../store/table.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Maximum number of attempts to write the cancel request. An attempt conflicts when the job ends at the same time; the next one finds the end record. */
const MAX_ATTEMPTS = 3;

/** Requests the cancellation of a stored job; false when no job of that id is stored. Rejects when the store does not answer. */
export async function cancelStoredJob(
  table: Table,
  id: string,
): Promise<boolean> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const key = STORED_JOB_KEYS.formatJob(id);
    const jobRows = await table.scan(key, 0);
    const row = jobRows.rows.find((found) => found.key === key);
    if (!row) break;
    const { revision } = row;
    const result = await table.transact([
      // The scheduler deletes the cancel request together with the job's row,
      // so that none may be written once that row is gone.
      { type: "check", key, revision },
      { type: "write", key: STORED_JOB_KEYS.formatCancel(id), value: {} },
    ]);
    if (result.type === "committed") return true;
  }
  const endRecords = await table.scan(STORED_JOB_KEYS.formatEnd(id), 0);
  return endRecords.rows.length > 0;
}

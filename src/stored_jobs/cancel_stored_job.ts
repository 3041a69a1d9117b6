import type { Table } from "../store/table.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Attempts at a cancel that crosses the job's end; the second finds the job ended. */
const MOST_ATTEMPTS = 3;

/** Asks for a stored job to be cancelled; false when there is none of that id. Rejects while the store does not answer. */
export async function cancelStoredJob(
  table: Table,
  id: string,
): Promise<boolean> {
  for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt += 1) {
    const key = STORED_JOB_KEYS.formatJob(id);
    const open = await table.scan(key, 0);
    const row = open.rows.find((one) => one.key === key);
    if (!row) break;
    const { revision } = row;
    const result = await table.transact([
      // A cancel never outlasts its job's row.
      { type: "check", key, revision },
      { type: "write", key: STORED_JOB_KEYS.formatCancel(id), value: {} },
    ]);
    if (result.type === "committed") return true;
  }
  const ended = await table.scan(STORED_JOB_KEYS.formatEnd(id), 0);
  return ended.rows.length > 0;
}

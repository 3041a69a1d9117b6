import type { Table } from "../store/table.ts";
import type { KeptEndRow } from "./kept_end_row.ts";
import type { StoredJobState } from "./stored_job_state.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Reads the state of a stored job; undefined when there is none of that id. Rejects while the store does not answer. */
export async function readStoredJobState(
  table: Table,
  id: string,
): Promise<StoredJobState | undefined> {
  const open = await table.scan(STORED_JOB_KEYS.formatJob(id), 0);
  const keys = open.rows.map(({ key }) => key);
  if (keys.includes(STORED_JOB_KEYS.formatJob(id))) {
    if (keys.includes(STORED_JOB_KEYS.formatCancel(id))) return "cancelled";
    const progress = await table.scan(STORED_JOB_KEYS.formatProgress(id), 0);
    return progress.rows.length > 0 ? "running" : "queued";
  }
  // Read second: a job leaves the open ones in the write that stores its end.
  const ended = await table.scan(STORED_JOB_KEYS.formatEnd(id), 0);
  const row = ended.rows[0]?.value as KeptEndRow | undefined;
  return row?.state;
}

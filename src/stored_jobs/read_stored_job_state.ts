import type { Table } from "../store/table.ts";
import type { EndRecord } from "./end_record.ts";
import type { StoredJobState } from "./stored_job_state.ts";
import type { JobProgressRow } from "./job_progress_row.ts";
import { readStoredRow } from "./read_stored_row.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Reads the state of a stored job; undefined when no job of that id is stored. Rejects when the store does not answer. */
export async function readStoredJobState(
  table: Table,
  id: string,
): Promise<StoredJobState | undefined> {
  const jobRows = await table.scan(STORED_JOB_KEYS.formatJob(id), 0);
  const keys = jobRows.rows.map(({ key }) => key);
  if (keys.includes(STORED_JOB_KEYS.formatJob(id))) {
    if (keys.includes(STORED_JOB_KEYS.formatCancel(id))) return "cancelled";
    const progress = await table.scan(STORED_JOB_KEYS.formatProgress(id), 0);
    const row = progress.rows[0]?.value as JobProgressRow | undefined;
    return row && !row.isUnstarted ? "running" : "queued";
  }
  // Must be read after the job's row: one transaction deletes that row and
  // writes the end record, so that the other order could miss both.
  const row = await readStoredRow(table, STORED_JOB_KEYS.formatEnd(id));
  const state = (row?.value as EndRecord | undefined)?.state;
  return state === "withdrawn" ? undefined : state;
}

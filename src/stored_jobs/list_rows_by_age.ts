import type { TableRow } from "../store/table_row.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Lists rows of the job table in the order in which the jobs were stored, each cancel request after its job. */
export function listRowsByAge(rows: TableRow[]): TableRow[] {
  const revisions = new Map<string, number>();
  for (const { key, revision } of rows) {
    const { id, isCancelRequest } = STORED_JOB_KEYS.parseJob(key);
    if (!isCancelRequest) revisions.set(id, revision);
  }
  const entries = rows.map((row) => {
    const { id, isCancelRequest } = STORED_JOB_KEYS.parseJob(row.key);
    return { row, isCancelRequest, storedAt: revisions.get(id) ?? 0 };
  });
  return entries
    .sort((one, other) =>
      one.storedAt - other.storedAt ||
      Number(one.isCancelRequest) - Number(other.isCancelRequest)
    )
    .map(({ row }) => row);
}

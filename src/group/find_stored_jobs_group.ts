import type { TableRow } from "../store/table_row.ts";
import { isPlainObject } from "../utils/is_plain_object.ts";
import { STORED_JOBS_GROUP_KEY } from "./stored_jobs_group_key.ts";

/** Finds the group that runs the stored jobs, and the revision of the row that says so; 0 without such a row, when the first group runs them. */
export function findStoredJobsGroup(
  rows: TableRow[],
  groups: string[],
): { group: string; revision: number } {
  const row = rows.find(({ key }) => key === STORED_JOBS_GROUP_KEY);
  const group = isPlainObject(row?.value) ? row.value.group : undefined;
  const known = groups.find((one) => one === group);
  return { group: known ?? groups[0], revision: row?.revision ?? 0 };
}

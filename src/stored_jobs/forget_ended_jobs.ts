import type { Table } from "../store/table.ts";
import type { KeptEndRow } from "./kept_end_row.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Rows that one transaction removes; it may have a hundred entries. */
const MOST_ROWS = 90;

/** Removes the ends of jobs that nobody may ask for any more; tells how many. */
export async function forgetEndedJobs(
  table: Table,
  options: {
    endedBeforeMs: number;
    /** The row that gives this process the role. */
    roleKey: string;
    roleRevision: number;
  },
): Promise<number> {
  const { rows } = await table.scan(STORED_JOB_KEYS.ends, 0);
  const old = rows.filter(({ value }) =>
    (value as KeptEndRow).endedAtMs < options.endedBeforeMs
  );
  const keys = old.map(({ key }) => key);
  for (let from = 0; from < keys.length; from += MOST_ROWS) {
    await table.transact([
      {
        type: "check",
        key: options.roleKey,
        revision: options.roleRevision,
      },
      ...keys.slice(from, from + MOST_ROWS)
        .map((key) => ({ type: "delete", key }) as const),
    ]);
  }
  return keys.length;
}

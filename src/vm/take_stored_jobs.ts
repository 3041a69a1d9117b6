import type { StoredJobsGroupRow } from "../group/stored_jobs_group_row.ts";
import { STORED_JOBS_GROUP_KEY } from "../group/stored_jobs_group_key.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import type { TableRow } from "../store/table_row.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";
import type { SchedulerRow } from "./scheduler_row.ts";

/** Incarnation of no process: the role is free until a VM of the group takes it. */
const NO_INCARNATION = "";

/**
 * Takes the stored jobs over from the scheduler of another group; false when
 * that scheduler, another group or another process was first. The same
 * transaction raises the epoch of the other group, so that its scheduler can
 * neither save stored jobs nor write heartbeats from then on.
 */
export async function takeStoredJobs(
  table: Table,
  from: {
    group: string;
    /** Key and revision of the own scheduler row. */
    role: { key: string; revision: number };
    /** The group that runs the stored jobs, and the revision of the row that says so; 0: none. */
    holder: { group: string; revision: number };
    /** The heartbeat of that group's scheduler as last read; undefined: none. */
    heartbeat: TableRow | undefined;
  },
): Promise<boolean> {
  const { group, role, holder, heartbeat } = from;
  const keys = formatRowKeys(holder.group);
  const { rows } = await table.scan(keys.scheduler, 0);
  const row = rows.find(({ key }) => key === keys.scheduler) as
    | TableRow<SchedulerRow>
    | undefined;
  const epoch = (row?.value.epoch ?? 0) + 1;
  const value: StoredJobsGroupRow = { group };
  const result = await table.transact([
    { type: "check", key: role.key, revision: role.revision },
    holder.revision === 0
      ? { type: "insert", key: STORED_JOBS_GROUP_KEY, value }
      : {
        type: "replace",
        key: STORED_JOBS_GROUP_KEY,
        value,
        revision: holder.revision,
      },
    replaceOrCheckNone(keys.scheduler, row, {
      ...row?.value,
      incarnation: NO_INCARNATION,
      epoch,
    }),
    replaceOrCheckNone(keys.heartbeat, heartbeat, {
      ...heartbeat?.value as HeartbeatRow,
      epoch,
    }),
  ]);
  return result.type === "committed";
}

/** Replaces a row, or requires that there is still none. */
function replaceOrCheckNone(
  key: string,
  row: TableRow | undefined,
  value: object,
): TableOperation {
  if (!row) return { type: "check", key, revision: 0 };
  return { type: "replace", key, value, revision: row.revision };
}

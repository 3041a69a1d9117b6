import { STORED_JOBS_GROUP_KEY } from "../group/stored_jobs_group_key.ts";
import type { StoredJobsGroupRow } from "../group/stored_jobs_group_row.ts";
import type { Table } from "../store/table.ts";
import type { TableRow } from "../store/table_row.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";
import type { SchedulerRow } from "./scheduler_row.ts";

/** Incarnation of no process: the role is free until a VM of the group takes it. */
const NO_INCARNATION = "";

/**
 * Hands the stored jobs over to another group; false when another group or
 * process was first. The same transaction raises the epoch of the own group, so
 * that a late write of this scheduler can't change them any more: it has to
 * stop in each case but false.
 */
export async function handOverStoredJobs(
  table: Table,
  from: {
    /** The own group, and the revision of its scheduler row under this process. */
    group: string;
    roleRevision: number;
    /** Revision of the row that names the group of the stored jobs; 0: none. */
    holderRevision: number;
    /** The group that takes them. */
    to: string;
  },
): Promise<boolean> {
  const { holderRevision, roleRevision } = from;
  const keys = formatRowKeys(from.group);
  const { rows } = await table.scan(keys.scheduler, 0);
  const row = rows.find(({ key }) => key === keys.scheduler) as
    | TableRow<SchedulerRow>
    | undefined;
  if (row?.revision !== roleRevision) return false;
  const epoch = row.value.epoch + 1;
  const value: StoredJobsGroupRow = { group: from.to };
  const key = STORED_JOBS_GROUP_KEY;
  // Without a summary: a current one with stored jobs would have them returned.
  const heartbeat: HeartbeatRow = { epoch, storeMs: 0 };
  const result = await table.transact([
    holderRevision === 0
      ? { type: "insert", key, value }
      : { type: "replace", key, value, revision: holderRevision },
    {
      type: "replace",
      key: keys.scheduler,
      value: { ...row.value, incarnation: NO_INCARNATION, epoch },
      revision: roleRevision,
    },
    { type: "write", key: keys.heartbeat, value: heartbeat },
  ]);
  return result.type === "committed";
}

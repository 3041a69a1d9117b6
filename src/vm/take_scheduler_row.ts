import type { Table } from "../store/table.ts";
import type { TableRow } from "../store/table_row.ts";
import type { SchedulerRow } from "./scheduler_row.ts";

/** Takes the scheduler role under the next epoch; undefined when the row has changed since it was read, as another VM has taken the role first. Rejects when the store does not answer. */
export async function takeSchedulerRow(
  table: Table,
  from: {
    holder: Omit<SchedulerRow, "epoch">;
    /** The scheduler row as last read; undefined when there was none. */
    row: TableRow<SchedulerRow> | undefined;
    /** The store's clock now, in ms. */
    storeMs: number;
    /** Keys of the group's rows. */
    keys: { scheduler: string; heartbeat: string };
  },
): Promise<TableRow<SchedulerRow> | undefined> {
  const { holder, row, storeMs, keys } = from;
  const epoch = (row?.value.epoch ?? 0) + 1;
  const value: SchedulerRow = { ...holder, epoch };
  const key = keys.scheduler;
  const result = await table.transact([
    row
      ? { type: "replace", key, value, revision: row.revision }
      : { type: "insert", key, value },
    // The first heartbeat is written in the same transaction, so that no other VM takes over from the new role holder at once.
    { type: "write", key: keys.heartbeat, value: { epoch, storeMs } },
  ]);
  if (result.type === "conflict") return undefined;
  return { key, value, revision: result.revision, updatedAtMs: result.atMs };
}

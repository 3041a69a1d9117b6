import type { Table } from "../store/table.ts";
import type { TableRow } from "../store/table_row.ts";
import type { SchedulerRow } from "./scheduler_row.ts";

/** Takes the role under the next epoch; undefined when the row is no longer as it was known, since another was faster. */
export async function takeSchedulerRow(
  table: Table,
  from: {
    holder: Omit<SchedulerRow, "epoch">;
    /** As last known; absent when there was none. */
    row: TableRow<SchedulerRow> | undefined;
    /** The store's clock now, in ms. */
    storeMs: number;
    /** Of the group's rows. */
    keys: { scheduler: string; beat: string };
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
    // Shows with the same write that the new holder lives, so that no other doubts it.
    { type: "write", key: keys.beat, value: { epoch, storeMs } },
  ]);
  if (result.type === "conflict") return undefined;
  return { key, value, revision: result.revision, updatedAtMs: result.atMs };
}

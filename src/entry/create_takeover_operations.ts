import { createSuspectWindow } from "../decide/own/create_suspect_window.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableOperation } from "../store/table_operation.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Creates the operations that take over the shards held by an earlier
 * incarnation at this process's address.
 */
export async function createTakeoverOperations(
  context: EntryContext,
  options: {
    earlierLease: { value: LeaseRow; updatedAtMs: number };
    platformNowMs: number;
  },
): Promise<TableOperation[]> {
  const { earlierLease, platformNowMs } = options;
  const { policy } = context.state.version.configuration;
  const prefix = formatRowKey("shard", `${context.settings.dataCentre}/`);
  const scan = await context.platform.table.scan(prefix, 0);
  const window = createSuspectWindow(earlierLease, {
    platformNowMs,
    skewMs: policy.clockSkewMs,
    isConfirmedDead: true,
  });
  return scan.rows
    .filter((row) => {
      const { holder, incarnation } = row.value as ShardRow;
      return holder === context.name &&
        incarnation === earlierLease.value.incarnation;
    })
    .map((row) => {
      const shardRow = row.value as ShardRow;
      const value: ShardRow = {
        holder: context.name,
        incarnation: context.incarnation,
        epoch: shardRow.epoch + 1,
        inUse: [],
        windows: window ? [...shardRow.windows, window] : shardRow.windows,
      };
      return { type: "replace", key: row.key, value, revision: row.revision };
    });
}

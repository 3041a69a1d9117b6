import { createSuspectWindow } from "../decide/own/create_suspect_window.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableOperation } from "../store/table_operation.ts";
import type { EntryContext } from "./entry_context.ts";

/** Finds the shards of a dead incarnation of this process, as steps that take them over. */
export async function findFormerShards(
  context: EntryContext,
  options: {
    former: { value: LeaseRow; updatedAtMs: number };
    platformNowMs: number;
  },
): Promise<TableOperation[]> {
  const { former, platformNowMs } = options;
  const { policy } = context.state.version.configuration;
  const prefix = formatRowKey("shard", `${context.settings.dataCentre}/`);
  const scan = await context.platform.table.scan(prefix, 0);
  const window = createSuspectWindow(former, {
    platformNowMs,
    skewMs: policy.clockSkewMs,
    isConfirmedDead: true,
  });
  return scan.rows
    .filter((row) => {
      const { holder, incarnation } = row.value as ShardRow;
      return holder === context.name &&
        incarnation === former.value.incarnation;
    })
    .map((row) => {
      const old = row.value as ShardRow;
      const value: ShardRow = {
        holder: context.name,
        incarnation: context.incarnation,
        epoch: old.epoch + 1,
        inUse: [],
        windows: window ? [...old.windows, window] : old.windows,
      };
      return { type: "replace", key: row.key, value, revision: row.revision };
    });
}

import type { ShardRow } from "../decide/own/shard_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableRow } from "../store/table_row.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobPlace } from "./job_place.ts";

/** Reads a shard's row from the platform, ahead of the control daemon's next view. */
export async function refreshShardRow(
  context: EntryContext,
  place: JobPlace,
): Promise<void> {
  const name = `${place.dataCentre}/${place.shard}`;
  const key = formatRowKey("shard", name);
  try {
    const scan = await context.platform.table.scan(key, 0);
    const row = scan.rows.find((one) => one.key === key);
    const known = context.view.shards.get(name);
    if (!row || row.revision <= (known?.revision ?? 0)) return;
    const fresh = row as TableRow<ShardRow>;
    context.view.shards.set(name, { ...fresh, key: name });
  } catch {
    context.logger.debug("shardRowNotRead", { message: name });
  }
}

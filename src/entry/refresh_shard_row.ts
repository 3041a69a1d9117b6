import type { ShardRow } from "../decide/own/shard_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableRow } from "../store/table_row.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobLocation } from "./job_location.ts";

/**
 * Reads a shard's row from the platform without waiting for the control
 * daemon's next message. A failed read leaves the view unchanged.
 */
export async function refreshShardRow(
  context: EntryContext,
  location: JobLocation,
): Promise<void> {
  const name = `${location.dataCentre}/${location.shard}`;
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

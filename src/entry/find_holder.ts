import type { ShardState } from "../decide/own/shard_state.ts";
import { formatRowKey } from "../platform/format_row_key.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { TableRow } from "../platform/table_row.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobPlace } from "./job_place.ts";

/** Longest wait for a shard that this process is loading or handing over, in ms. */
const SETTLE_MS = 2_000;
const LOOK_MS = 10;

/** Who serves a shard at present. */
type Holder =
  | { type: "self"; shard: ShardState }
  | { type: "peer"; name: string }
  | { type: "none" };

/** Finds the process that serves a shard; waits while that is being settled here. */
export async function findHolder(
  context: EntryContext,
  place: JobPlace,
): Promise<Holder> {
  const untilMs = performance.now() + SETTLE_MS;
  let refreshed = false;
  while (true) {
    const holder = readHolder(context, place);
    if (holder) return holder;
    if (performance.now() > untilMs) return { type: "none" };
    if (!refreshed) {
      refreshed = true;
      await refreshShardRow(context, place);
    } else await waitMs(LOOK_MS);
  }
}

/** Reads the holder off the view; undefined while it is unsettled. */
function readHolder(
  context: EntryContext,
  place: JobPlace,
): Holder | undefined {
  const isLocal = place.dataCentre === context.settings.dataCentre;
  const shard = isLocal ? context.state.shards.get(place.shard) : undefined;
  if (shard?.phase === "active") return { type: "self", shard };
  if (shard) return undefined;
  const row = context.view.shards.get(`${place.dataCentre}/${place.shard}`);
  if (!row || row.value.holder === context.name) return undefined;
  return { type: "peer", name: row.value.holder };
}

async function refreshShardRow(
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

import type { ShardState } from "../decide/own/shard_state.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobLocation } from "./job_location.ts";
import { refreshShardRow } from "./refresh_shard_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Longest wait for a shard to be loaded or handed over, in ms. */
const HOLDER_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 10;

/** The process that serves a shard at present. */
type ShardHolder =
  | { type: "self"; shard: ShardState }
  | { type: "peer"; name: string }
  | { type: "none" };

/**
 * Finds the process that serves a shard, and waits while this process is
 * loading the shard or handing it over. When a peer forwarded the request here
 * and the ownership view names a peer as the holder, the view may be outdated,
 * so the shard's row is read from the platform first.
 */
export async function findHolder(
  context: EntryContext,
  location: JobLocation,
  hops: number,
): Promise<ShardHolder> {
  const untilMs = readMonotonicMs() + HOLDER_TIMEOUT_MS;
  let refreshed = false;
  if (hops > 0 && readHolderFromView(context, location)?.type === "peer") {
    refreshed = true;
    await refreshShardRow(context, location);
  }
  while (true) {
    const holder = readHolderFromView(context, location);
    if (holder) return holder;
    if (readMonotonicMs() > untilMs) return { type: "none" };
    if (!refreshed) {
      refreshed = true;
      await refreshShardRow(context, location);
    } else await waitMs(POLL_INTERVAL_MS);
  }
}

/** Reads the holder from the ownership view; undefined while it is changing or not known. */
function readHolderFromView(
  context: EntryContext,
  location: JobLocation,
): ShardHolder | undefined {
  const isLocal = location.dataCentre === context.settings.dataCentre;
  const shard = isLocal ? context.state.shards.get(location.shard) : undefined;
  if (shard?.phase === "active") return { type: "self", shard };
  if (shard) return undefined;
  const row = context.view.shards.get(
    `${location.dataCentre}/${location.shard}`,
  );
  if (!row || row.value.holder === context.name) return undefined;
  return { type: "peer", name: row.value.holder };
}

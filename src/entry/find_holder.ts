import type { ShardState } from "../decide/own/shard_state.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobPlace } from "./job_place.ts";
import { refreshShardRow } from "./refresh_shard_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Longest wait for a shard that this process is loading or handing over, in ms. */
const SETTLE_MS = 2_000;
const LOOK_MS = 10;

/** Who serves a shard at present. */
type Holder =
  | { type: "self"; shard: ShardState }
  | { type: "peer"; name: string }
  | { type: "none" };

/**
 * Finds the process that serves a shard; waits while that is being settled
 * here. A job that was forwarded here says that the view may be old.
 */
export async function findHolder(
  context: EntryContext,
  place: JobPlace,
  hops: number,
): Promise<Holder> {
  const untilMs = readMonotonicMs() + SETTLE_MS;
  let refreshed = false;
  if (hops > 0 && readHolder(context, place)?.type === "peer") {
    refreshed = true;
    await refreshShardRow(context, place);
  }
  while (true) {
    const holder = readHolder(context, place);
    if (holder) return holder;
    if (readMonotonicMs() > untilMs) return { type: "none" };
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

import { activateShard } from "../decide/entry/activate_shard.ts";
import { collectKnownSubmissions } from "../decide/claim/collect_known_submissions.ts";
import { createShardState } from "../decide/own/create_shard_state.ts";
import { isLeaseExpired } from "../decide/own/is_lease_expired.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { TableRow } from "../store/table_row.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";

/** Loads the logs of shards that the view says this process holds and that it does not serve yet. */
export async function loadHeldShards(context: EntryContext): Promise<void> {
  const { dataCentre } = context.settings;
  for (const [place, row] of context.view.shards) {
    if (!place.startsWith(`${dataCentre}/`)) continue;
    const { holder, incarnation } = row.value;
    if (holder !== context.name || incarnation !== context.incarnation) {
      continue;
    }
    const index = Number(place.slice(dataCentre.length + 1));
    const held = context.state.shards.get(index);
    if (held && held.phase !== "loading") continue;
    if (isKnownReleased(context, index, row)) continue;
    await loadShard(context, index, row);
  }
}

/** A view that lags may still name this process for a shard it has handed over. */
function isKnownReleased(
  context: EntryContext,
  index: number,
  row: TableRow<ShardRow>,
): boolean {
  return context.state.releasedShards.some((shard) =>
    shard.index === index && shard.epoch >= row.value.epoch
  );
}

async function loadShard(
  context: EntryContext,
  index: number,
  row: TableRow<ShardRow>,
): Promise<void> {
  const shard = createShardState(index, row.value, row.revision);
  context.state.shards.set(index, shard);
  const prefix = `log/${context.settings.dataCentre}/${index}/`;
  const scan = await context.platform.table.scan(prefix, 0);
  const { retentionMs } = context.state.version.configuration.policy;
  const kept = scan.rows.filter((one) =>
    one.updatedAtMs >= scan.atMs - retentionMs
  );
  const known = collectKnownSubmissions(kept);
  shard.rows = scan.rows
    .map((one) => ({ key: one.key, writtenAtMs: one.updatedAtMs }))
    .sort((one, other) => one.writtenAtMs - other.writtenAtMs);
  const liveIncarnations = findLiveIncarnations(context, scan.atMs);
  decide(
    context,
    (state) => activateShard(state, shard, { known, liveIncarnations }),
  );
  context.logger.info("shardServed", {
    shard: index,
    epoch: shard.epoch,
    count: known.size,
  });
}

/** Processes that may still end jobs of theirs, this one included. */
function findLiveIncarnations(
  context: EntryContext,
  platformNowMs: number,
): Set<string> {
  const live = [...context.view.leases.values()]
    .filter((row) => !isLeaseExpired(row, platformNowMs))
    .map((row) => row.value.incarnation)
    .filter((incarnation) => !context.view.confirmedDead.has(incarnation));
  return new Set([...live, context.incarnation]);
}

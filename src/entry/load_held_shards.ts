import { activateShard } from "../decide/entry/activate_shard.ts";
import { collectKnownSubmissions } from "../decide/claim/collect_known_submissions.ts";
import { createShardState } from "../decide/own/create_shard_state.ts";
import { isLeaseExpired } from "../decide/own/is_lease_expired.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { TableRow } from "../store/table_row.ts";
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Loads the logs of shards that the ownership view assigns to this process and
 * that it does not serve yet.
 */
export async function loadHeldShards(context: EntryContext): Promise<void> {
  const { dataCentre } = context.settings;
  for (const [shardKey, row] of context.view.shards) {
    if (!shardKey.startsWith(`${dataCentre}/`)) continue;
    const { holder, incarnation } = row.value;
    if (holder !== context.name || incarnation !== context.incarnation) {
      continue;
    }
    const index = Number(shardKey.slice(dataCentre.length + 1));
    const held = context.state.shards.get(index);
    if (held && held.phase !== "loading") continue;
    if (isAlreadyReleased(context, index, row)) continue;
    await loadShard(context, index, row);
  }
}

/**
 * Whether this process has handed the shard over since; an outdated ownership
 * view may still name it as the holder.
 */
function isAlreadyReleased(
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
  const retained = scan.rows.filter((one) =>
    one.updatedAtMs >= scan.atMs - retentionMs
  );
  const known = collectKnownSubmissions(retained);
  shard.rows = scan.rows
    .map((one) => ({ key: one.key, writtenAtMs: one.updatedAtMs }))
    .sort((one, other) => one.writtenAtMs - other.writtenAtMs);
  const liveIncarnations = findLiveIncarnations(context, scan.atMs);
  updateState(
    context,
    (state) => activateShard(state, shard, { known, liveIncarnations }),
  );
  context.logger.info("shardServed", {
    shard: index,
    epoch: shard.epoch,
    count: known.size,
  });
}

/** Finds the incarnations, including this process's own, that may still complete the jobs they accepted. */
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

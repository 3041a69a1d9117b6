import { advanceChart } from "../charts/advance_chart.ts";
import { shardChart } from "../charts/shard_chart.ts";
import { hasUnwrittenRecords } from "../decide/entry/has_unwritten_records.ts";
import { dropLostShard } from "../decide/entry/drop_lost_shard.ts";
import { releaseShard } from "../decide/entry/release_shard.ts";
import type { OwnershipAction } from "../decide/own/ownership_action.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { ShardState } from "../decide/own/shard_state.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableRow } from "../store/table_row.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Longest wait for the claims on their way, after which the shard is kept, in ms. */
const SETTLE_MS = 2_000;
const LOOK_MS = 5;

/** Gives a shard to another live process once every claim on its way is settled. */
export async function handOverShard(
  context: EntryContext,
  action: OwnershipAction & { type: "handOver" },
): Promise<void> {
  const shard = context.state.shards.get(action.shard);
  const to = context.view.leases.get(action.to)?.value;
  if (!shard || shard.phase !== "active" || !to) return;
  shard.phase = advanceChart(shardChart, shard.phase, "handOver");
  const isSettled = await settleRecords(shard);
  if (shard.phase !== "handingOver") return;
  if (!isSettled) {
    shard.phase = advanceChart(shardChart, shard.phase, "keep");
    return;
  }
  await writeHolder(context, shard, {
    holder: action.to,
    incarnation: to.incarnation,
    epoch: shard.epoch + 1,
    inUse: listSlotsInUse(context),
    windows: shard.windows,
  });
}

function listSlotsInUse(context: EntryContext): ShardRow["inUse"] {
  return [...context.state.scheduler.endpoints.values()]
    .filter((endpoint) => endpoint.inFlight > 0)
    .map(({ id, inFlight }) => ({ endpointId: id, count: inFlight }));
}

async function settleRecords(shard: ShardState): Promise<boolean> {
  const untilMs = readMonotonicMs() + SETTLE_MS;
  while (hasUnwrittenRecords(shard)) {
    if (readMonotonicMs() > untilMs) return false;
    await waitMs(LOOK_MS);
  }
  return true;
}

async function writeHolder(
  context: EntryContext,
  shard: ShardState,
  value: ShardRow,
): Promise<void> {
  const place = `${context.settings.dataCentre}/${shard.index}`;
  const row = await replaceRow(context, { place, value, shard });
  // The lease may have been lost while the row was written; the shard is gone then.
  const isHeld = shard.phase === "handingOver";
  if (row === undefined) {
    if (!isHeld) return;
    decide(
      context,
      (state, clock) => dropLostShard(state, shard, clock.monotonicMs),
    );
    return;
  }
  if (isHeld) decide(context, (state) => releaseShard(state, shard));
  context.view.shards.set(place, row);
  context.logger.info("shardHandedOver", {
    shard: shard.index,
    epoch: value.epoch,
    process: value.holder,
  });
}

/** Writes the new holder until it is known whether that took effect. */
async function replaceRow(
  context: EntryContext,
  options: { place: string; value: ShardRow; shard: ShardState },
): Promise<TableRow<ShardRow> | undefined> {
  const { place, value, shard } = options;
  const key = formatRowKey("shard", place);
  const { table } = context.platform;
  while (context.phase !== "stopped") {
    try {
      const { revision } = shard;
      const result = await table.transact([{
        type: "replace",
        key,
        value,
        revision,
      }]);
      if (result.type === "committed") {
        const updatedAtMs = result.atMs;
        return { key: place, value, revision: result.revision, updatedAtMs };
      }
      const scan = await table.scan(key, 0);
      const row = scan.rows.find((one) => one.key === key);
      const found = row as TableRow<ShardRow> | undefined;
      const ours = found?.value.epoch === value.epoch &&
        found.value.incarnation === value.incarnation;
      return ours ? { ...found, key: place } : undefined;
    } catch {
      await waitMs(LOOK_MS * 20);
    }
  }
  return undefined;
}

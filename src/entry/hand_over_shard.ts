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
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Longest wait for unwritten records of a shard, after which the hand-over is cancelled, in ms. */
const RECORDS_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 5;

/** Hands a shard over to another live process after the shard's records have been written to its log. */
export async function handOverShard(
  context: EntryContext,
  action: OwnershipAction & { type: "handOver" },
): Promise<void> {
  const shard = context.state.shards.get(action.shard);
  const to = context.view.leases.get(action.to)?.value;
  if (!shard || shard.phase !== "active" || !to) return;
  shard.phase = advanceChart(shardChart, shard.phase, "handOver");
  const isWritten = await waitForRecords(shard);
  if (shard.phase !== "handingOver") return;
  if (!isWritten) {
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

async function waitForRecords(shard: ShardState): Promise<boolean> {
  const untilMs = readMonotonicMs() + RECORDS_TIMEOUT_MS;
  while (hasUnwrittenRecords(shard)) {
    if (readMonotonicMs() > untilMs) return false;
    await waitMs(POLL_INTERVAL_MS);
  }
  return true;
}

async function writeHolder(
  context: EntryContext,
  shard: ShardState,
  value: ShardRow,
): Promise<void> {
  const shardKey = `${context.settings.dataCentre}/${shard.index}`;
  const row = await replaceRow(context, { shardKey, value, shard });
  // This process may have lost its lease, and the shard with it, while the row was written.
  const isHeld = shard.phase === "handingOver";
  if (row === undefined) {
    if (!isHeld) return;
    updateState(
      context,
      (state, clock) => dropLostShard(state, shard, clock.monotonicMs),
    );
    return;
  }
  if (isHeld) updateState(context, (state) => releaseShard(state, shard));
  context.view.shards.set(shardKey, row);
  context.logger.info("shardHandedOver", {
    shard: shard.index,
    epoch: value.epoch,
    process: value.holder,
  });
}

/**
 * Writes the row with the new holder and retries until the outcome is known.
 * Returns the row as written, or undefined when another process changed it
 * first or this process has stopped.
 */
async function replaceRow(
  context: EntryContext,
  options: { shardKey: string; value: ShardRow; shard: ShardState },
): Promise<TableRow<ShardRow> | undefined> {
  const { shardKey, value, shard } = options;
  const key = formatRowKey("shard", shardKey);
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
        return { key: shardKey, value, revision: result.revision, updatedAtMs };
      }
      const scan = await table.scan(key, 0);
      const row = scan.rows.find((one) => one.key === key);
      const found = row as TableRow<ShardRow> | undefined;
      const isOwnWrite = found?.value.epoch === value.epoch &&
        found.value.incarnation === value.incarnation;
      return isOwnWrite ? { ...found, key: shardKey } : undefined;
    } catch {
      await waitMs(POLL_INTERVAL_MS * 20);
    }
  }
  return undefined;
}

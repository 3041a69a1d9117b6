import { createSuspectWindow } from "../decide/own/create_suspect_window.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { OwnershipAction } from "../decide/own/ownership_action.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { formatLeaseKey } from "./format_lease_key.ts";
import type { EntryContext } from "./entry_context.ts";
import { loadHeldShards } from "./load_held_shards.ts";

/**
 * Acquires a shard that has no holder or whose holder is lost, and ends the
 * lost holder's lease in the same transaction.
 */
export async function acquireShard(
  context: EntryContext,
  action: OwnershipAction & { type: "acquire" },
  platformNowMs: number,
): Promise<void> {
  const shardKey = `${context.settings.dataCentre}/${action.shard}`;
  const value = createShardRow(context, action, platformNowMs);
  const key = formatRowKey("shard", shardKey);
  const row = context.view.shards.get(shardKey);
  const write: TableOperation = row
    ? { type: "replace", key, value, revision: row.revision }
    : { type: "insert", key, value };
  const fence = createFence(context, action);
  const result = await context.platform.table.transact([...fence, write]);
  if (result.type === "conflict") return;
  context.logger.info("shardAcquired", {
    shard: action.shard,
    epoch: value.epoch,
    process: action.from,
  });
  const { revision, atMs } = result;
  context.view.shards.set(shardKey, {
    key: shardKey,
    value,
    revision,
    updatedAtMs: atMs,
  });
  await loadHeldShards(context);
}

function createShardRow(
  context: EntryContext,
  action: OwnershipAction & { type: "acquire" },
  platformNowMs: number,
): ShardRow {
  const shardKey = `${context.settings.dataCentre}/${action.shard}`;
  const previous = context.view.shards.get(shardKey)?.value;
  const lostLease = context.view.leases.get(action.from ?? "");
  const window = lostLease && isLeaseOfHolder(lostLease.value, previous) &&
    createSuspectWindow(lostLease, {
      platformNowMs,
      skewMs: context.state.version.configuration.policy.clockSkewMs,
      isConfirmedDead: context.view.confirmedDead.has(
        lostLease.value.incarnation,
      ),
    });
  const windows = previous?.windows ?? [];
  return {
    holder: context.name,
    incarnation: context.incarnation,
    epoch: (previous?.epoch ?? 0) + 1,
    inUse: [],
    windows: window ? [...windows, window] : windows,
  };
}

/**
 * Creates the operations that make the acquisition conditional on the lost
 * holder's lease row being unchanged, and that end this lease: a holder whose
 * lease has ended can't renew it. When a later process has started at the
 * holder's address, the row belongs to that process, so the lease is left as
 * it is.
 */
function createFence(
  context: EntryContext,
  action: OwnershipAction & { type: "acquire" },
): TableOperation[] {
  const lease = context.view.leases.get(action.from ?? "");
  if (!lease) return [];
  const key = formatLeaseKey(context, action.from ?? "");
  const { revision } = lease;
  const shardKey = `${context.settings.dataCentre}/${action.shard}`;
  const shardRow = context.view.shards.get(shardKey)?.value;
  if (
    lease.value.state === "ended" || !isLeaseOfHolder(lease.value, shardRow)
  ) {
    return [{ type: "check", key, revision }];
  }
  const value = { ...lease.value, state: "ended" };
  return [{ type: "replace", key, value, revision }];
}

function isLeaseOfHolder(lease: LeaseRow, shard?: ShardRow): boolean {
  return lease.incarnation === shard?.incarnation;
}

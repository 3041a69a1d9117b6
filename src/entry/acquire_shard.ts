import { createSuspectWindow } from "../decide/own/create_suspect_window.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { OwnershipAction } from "../decide/own/ownership_action.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { formatLeaseKey } from "./format_lease_key.ts";
import type { EntryContext } from "./entry_context.ts";
import { loadHeldShards } from "./load_held_shards.ts";

/** Takes a shard that is free or whose holder is lost, and ends the lost holder's lease. */
export async function acquireShard(
  context: EntryContext,
  action: OwnershipAction & { type: "acquire" },
  platformNowMs: number,
): Promise<void> {
  const place = `${context.settings.dataCentre}/${action.shard}`;
  const value = createShardRow(context, action, platformNowMs);
  const key = formatRowKey("shard", place);
  const row = context.view.shards.get(place);
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
  context.view.shards.set(place, {
    key: place,
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
  const place = `${context.settings.dataCentre}/${action.shard}`;
  const old = context.view.shards.get(place)?.value;
  const lost = context.view.leases.get(action.from ?? "");
  const window = lost && isLeaseOfHolder(lost.value, old) &&
    createSuspectWindow(lost, {
      platformNowMs,
      skewMs: context.state.version.configuration.policy.clockSkewMs,
      isConfirmedDead: context.view.confirmedDead.has(lost.value.incarnation),
    });
  const windows = old?.windows ?? [];
  return {
    holder: context.name,
    incarnation: context.incarnation,
    epoch: (old?.epoch ?? 0) + 1,
    inUse: [],
    windows: window ? [...windows, window] : windows,
  };
}

/**
 * The lost holder's lease row must not have moved since; ending it fences the
 * holder for good. A later process at its address has fenced it already, and
 * keeps its own lease.
 */
function createFence(
  context: EntryContext,
  action: OwnershipAction & { type: "acquire" },
): TableOperation[] {
  const lease = context.view.leases.get(action.from ?? "");
  if (!lease) return [];
  const key = formatLeaseKey(context, action.from ?? "");
  const { revision } = lease;
  const place = `${context.settings.dataCentre}/${action.shard}`;
  const held = context.view.shards.get(place)?.value;
  if (lease.value.state === "ended" || !isLeaseOfHolder(lease.value, held)) {
    return [{ type: "check", key, revision }];
  }
  const value = { ...lease.value, state: "ended" };
  return [{ type: "replace", key, value, revision }];
}

function isLeaseOfHolder(lease: LeaseRow, shard?: ShardRow): boolean {
  return lease.incarnation === shard?.incarnation;
}

import type { ShardRow } from "../decide/own/shard_row.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableRow } from "../store/table_row.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { formatLeaseKey } from "./format_lease_key.ts";
import type { EntryContext } from "./entry_context.ts";
import { findFormerShards } from "./find_former_shards.ts";

/** What became of writing the lease row. */
type Written =
  | { type: "committed"; revision: number; atMs: number }
  | { type: "conflict" };

/** Writes the process's lease row; a write of its own whose reply was lost counts as confirmed. */
export async function writeLease(
  context: EntryContext,
  value: LeaseRow,
): Promise<Written> {
  const { table } = context.platform;
  const key = formatLeaseKey(context, context.name);
  const { revision } = context.state.lease;
  if (revision === 0) return await acquireLease(context, key, value);
  const result = await table.transact([{
    type: "replace",
    key,
    value,
    revision,
  }]);
  if (result.type === "committed") return result;
  return await adoptOwnWrite(context, key, value);
}

/** The row may hold an earlier renewal of this incarnation, whose reply was lost. */
async function adoptOwnWrite(
  context: EntryContext,
  key: string,
  value: LeaseRow,
): Promise<Written> {
  const { table } = context.platform;
  const { row } = await readRow(context, key);
  const ours = row?.value.incarnation === value.incarnation &&
    row.value.state !== "ended";
  if (!row || !ours) return { type: "conflict" };
  const { revision } = row;
  const result = await table.transact([{
    type: "replace",
    key,
    value,
    revision,
  }]);
  return result.type === "committed" ? result : { type: "conflict" };
}

/**
 * Begins a lease under the process's name. An earlier incarnation at the same
 * address is dead, since this process listens there now; the shards it still
 * holds are taken over in the same transaction. Nothing can start from memory
 * before this write is confirmed, so the row vouches for the time before it.
 */
async function acquireLease(
  context: EntryContext,
  key: string,
  value: LeaseRow,
): Promise<Written> {
  const { table } = context.platform;
  const { row, atMs } = await readRow(context, key);
  const first = { ...value, ackedAtMs: atMs, coveredUntilMs: atMs };
  const lease: TableOperation = row
    ? { type: "replace", key, value: first, revision: row.revision }
    : { type: "insert", key, value: first };
  const shards = row
    ? await findFormerShards(context, { former: row, platformNowMs: atMs })
    : [];
  const result = await table.transact([lease, ...shards]);
  if (result.type === "conflict") {
    throw new Error("The lease row changed while it was acquired");
  }
  if (shards.length > 0) await readShardRows(context);
  return result;
}

async function readRow(
  context: EntryContext,
  key: string,
): Promise<{ row: TableRow<LeaseRow> | undefined; atMs: number }> {
  const scan = await context.platform.table.scan(key, 0);
  const row = scan.rows.find((one) => one.key === key);
  return { row: row as TableRow<LeaseRow> | undefined, atMs: scan.atMs };
}

/** Shards taken over along with the lease are served before the next view. */
async function readShardRows(context: EntryContext): Promise<void> {
  const { dataCentre } = context.settings;
  const prefix = formatRowKey("shard", "");
  const scan = await context.platform.table.scan(prefix + dataCentre, 0);
  for (const row of scan.rows as TableRow<ShardRow>[]) {
    const key = row.key.slice(prefix.length);
    context.view.shards.set(key, { ...row, key });
  }
}

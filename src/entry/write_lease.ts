import type { ShardRow } from "../decide/own/shard_row.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableRow } from "../store/table_row.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { formatLeaseKey } from "./format_lease_key.ts";
import type { EntryContext } from "./entry_context.ts";
import { createTakeoverOperations } from "./create_takeover_operations.ts";

/** The outcome of writing the lease row. */
type LeaseWriteResult =
  | { type: "committed"; revision: number; atMs: number }
  | { type: "conflict" };

/**
 * Writes this process's lease row. When the row was changed by an earlier write
 * of this incarnation whose reply was lost, writes it again with the new
 * revision. Rejects when the outcome is unknown.
 */
export async function writeLease(
  context: EntryContext,
  value: LeaseRow,
): Promise<LeaseWriteResult> {
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
  return await replaceEarlierRenewal(context, key, value);
}

/**
 * Replaces the row if it contains an earlier renewal of this incarnation,
 * whose reply was lost; conflicts otherwise.
 */
async function replaceEarlierRenewal(
  context: EntryContext,
  key: string,
  value: LeaseRow,
): Promise<LeaseWriteResult> {
  const { table } = context.platform;
  const { row } = await readLeaseRow(context, key);
  const isOwnRow = row?.value.incarnation === value.incarnation &&
    row.value.state !== "ended";
  if (!row || !isOwnRow) return { type: "conflict" };
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
 * Acquires a lease under this process's name. An earlier incarnation at the
 * same address is dead, because this process listens there now; the shards
 * that the earlier incarnation holds are taken over in the same transaction.
 * `coveredUntilMs` of the new row is the platform time at which the row was
 * read before, because no job can start without a durable claim until the write
 * is confirmed.
 */
async function acquireLease(
  context: EntryContext,
  key: string,
  value: LeaseRow,
): Promise<LeaseWriteResult> {
  const { table } = context.platform;
  const { row, atMs } = await readLeaseRow(context, key);
  const firstValue = { ...value, ackedAtMs: atMs, coveredUntilMs: atMs };
  const lease: TableOperation = row
    ? { type: "replace", key, value: firstValue, revision: row.revision }
    : { type: "insert", key, value: firstValue };
  const shards = row
    ? await createTakeoverOperations(context, {
      earlierLease: row,
      platformNowMs: atMs,
    })
    : [];
  const result = await table.transact([lease, ...shards]);
  if (result.type === "conflict") {
    throw new Error("The lease row changed while it was acquired");
  }
  if (shards.length > 0) await readShardRows(context);
  return result;
}

async function readLeaseRow(
  context: EntryContext,
  key: string,
): Promise<{ row: TableRow<LeaseRow> | undefined; atMs: number }> {
  const scan = await context.platform.table.scan(key, 0);
  const row = scan.rows.find((one) => one.key === key);
  return { row: row as TableRow<LeaseRow> | undefined, atMs: scan.atMs };
}

/**
 * Reads the shard rows into the ownership view, so that shards taken over with
 * the lease are served before the control daemon's next message.
 */
async function readShardRows(context: EntryContext): Promise<void> {
  const { dataCentre } = context.settings;
  const prefix = formatRowKey("shard", "");
  const scan = await context.platform.table.scan(prefix + dataCentre, 0);
  for (const row of scan.rows as TableRow<ShardRow>[]) {
    const key = row.key.slice(prefix.length);
    context.view.shards.set(key, { ...row, key });
  }
}

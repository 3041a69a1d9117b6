import { applyAppend } from "../decide/entry/apply_append.ts";
import { dropLostShard } from "../decide/entry/drop_lost_shard.ts";
import { hasDueRecords } from "../decide/entry/has_due_records.ts";
import { hasUnwrittenRecords } from "../decide/entry/has_unwritten_records.ts";
import { takeAppend } from "../decide/entry/take_append.ts";
import { formatLogKey } from "../decide/claim/format_log_key.ts";
import { findExpiredRows } from "../decide/claim/find_expired_rows.ts";
import type { LogRow } from "../decide/claim/log_row.ts";
import type { ShardState } from "../decide/own/shard_state.ts";
import { readError } from "../errors/read_error.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { createWriteRateLimiter } from "./create_write_rate_limiter.ts";
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";
import { storeAnswers } from "./store_answers.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Pause after a failed append, in ms. */
const RETRY_DELAY_MS = 200;
/** Longest time for which the writer waits before it checks for due records again, in ms. */
const MAX_IDLE_MS = 50;

/**
 * Appends claims and outcomes to the shard logs until the entry stops. Only one
 * append is in flight at a time; the next one writes all records of its shard
 * that were created meanwhile as one row.
 */
export async function writeShardLogs(context: EntryContext): Promise<void> {
  const waitForWriteToken = createWriteRateLimiter(context);
  while (context.phase !== "stopped") {
    const shard = findShardWithDueRecords(context);
    if (!shard) {
      await waitForDueRecords(context);
      continue;
    }
    await waitForWriteToken();
    await writeNextAppend(context, shard);
    dropFinishedReleasedShards(context);
  }
}

function findShardWithDueRecords(
  context: EntryContext,
): ShardState | undefined {
  const { shards, releasedShards } = context.state;
  const nowMs = readMonotonicMs();
  return [...shards.values(), ...releasedShards].find((shard) =>
    hasDueRecords(shard, nowMs)
  );
}

function waitForDueRecords(context: EntryContext): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, MAX_IDLE_MS);
    context.wakeLogWriter = () => {
      if (!findShardWithDueRecords(context)) return;
      clearTimeout(timer);
      context.wakeLogWriter = () => {};
      resolve();
    };
  });
}

async function writeNextAppend(
  context: EntryContext,
  shard: ShardState,
): Promise<void> {
  const append = takeAppend(shard, readMonotonicMs());
  if (!append) return;
  try {
    storeAnswers(context, shard, append);
    const sentAtMs = readMonotonicMs();
    const expired = findExpiredRows(shard, computeRetentionStartMs(context));
    const operations = createAppendOperations(context, shard, append);
    const result = await context.platform.table.transact([
      ...operations,
      ...expired.map(({ key }) => ({ type: "delete" as const, key })),
    ]);
    recordAppendMetrics(context, readMonotonicMs() - sentAtMs);
    const isWritten = result.type === "committed" ||
      isOwnEarlierAppend(context, shard, { append, keys: result.keys });
    if (isWritten) finishAppend(context, shard, { append, expired });
    else handleLostShard(context, shard);
  } catch (thrown) {
    context.logger.warn("appendUnconfirmed", {
      shard: shard.index,
      epoch: shard.epoch,
      message: readError(thrown).message,
    });
    await waitMs(RETRY_DELAY_MS);
  }
}

function recordAppendMetrics(context: EntryContext, tookMs: number): void {
  context.metrics.increment("platform.append");
  context.metrics.time("platform.append", tookMs);
  context.appends.count += 1;
  context.appends.totalMs += tookMs;
}

/** Computes the platform time, in Unix ms, before which rows are past the retention. */
function computeRetentionStartMs(context: EntryContext): number {
  const { retentionMs } = context.state.version.configuration.policy;
  return readMonotonicMs() + context.view.platformOffsetMs - retentionMs;
}

function finishAppend(
  context: EntryContext,
  shard: ShardState,
  options: {
    append: NonNullable<ShardState["inFlight"]>;
    expired: ShardState["rows"];
  },
): void {
  const { append, expired } = options;
  const { dataCentre } = context.state;
  const shardLog = { dataCentre, shard: shard.index, epoch: shard.epoch };
  shard.rows.splice(0, expired.length);
  shard.rows.push({
    key: formatLogKey(shardLog, append.sequence),
    writtenAtMs: readMonotonicMs() + context.view.platformOffsetMs,
  });
  updateState(context, (state, clock) => {
    applyAppend(state, shard, clock.monotonicMs);
  });
}

function createAppendOperations(
  context: EntryContext,
  shard: ShardState,
  append: NonNullable<ShardState["inFlight"]>,
): TableOperation[] {
  const { dataCentre } = context.state;
  const shardLog = { dataCentre, shard: shard.index, epoch: shard.epoch };
  const value: LogRow = {
    owner: context.name,
    incarnation: context.incarnation,
    records: append.records,
  };
  const insert: TableOperation = {
    type: "insert",
    key: formatLogKey(shardLog, append.sequence),
    value,
  };
  if (shard.phase === "released") return [insert];
  const key = formatRowKey("shard", `${dataCentre}/${shard.index}`);
  return [{ type: "check", key, revision: shard.revision }, insert];
}

/**
 * Whether a conflict shows that an earlier attempt at this append succeeded and
 * its reply was lost: the conflict is about the append's own row alone, and
 * only this process writes rows of its epoch.
 */
function isOwnEarlierAppend(
  context: EntryContext,
  shard: ShardState,
  options: { append: NonNullable<ShardState["inFlight"]>; keys: string[] },
): boolean {
  const { dataCentre } = context.state;
  const shardLog = { dataCentre, shard: shard.index, epoch: shard.epoch };
  const logKey = formatLogKey(shardLog, options.append.sequence);
  return options.keys.every((key) => key === logKey);
}

function handleLostShard(context: EntryContext, shard: ShardState): void {
  context.logger.error("shardLost", {
    shard: shard.index,
    epoch: shard.epoch,
    message:
      "Another process holds the shard now; its open jobs fail in this process",
  });
  updateState(context, (state, clock) => {
    if (shard.phase === "released" || shard.phase === "lost") return;
    dropLostShard(state, shard, clock.monotonicMs);
  });
}

function dropFinishedReleasedShards(context: EntryContext): void {
  const { state } = context;
  state.releasedShards = state.releasedShards.filter((shard) =>
    shard.openJobs > 0 || hasUnwrittenRecords(shard)
  );
}

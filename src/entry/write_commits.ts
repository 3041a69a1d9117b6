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
import { createWritePacer } from "./create_write_pacer.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import { storeAnswers } from "./store_answers.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Pause after a failed append, in ms. */
const FAILED_PAUSE_MS = 200;
/** Longest sleep of the writer without being woken, in ms. */
const IDLE_MS = 50;

/** Appends claims and outcomes to the logs until the entry stops: one row at a time carries all that came in meanwhile. */
export async function writeCommits(context: EntryContext): Promise<void> {
  const pace = createWritePacer(context);
  while (context.phase !== "stopped") {
    const shard = findWaitingShard(context);
    if (!shard) {
      await waitForWork(context);
      continue;
    }
    await pace();
    await writeShard(context, shard);
    dropFinishedShards(context);
  }
}

function findWaitingShard(context: EntryContext): ShardState | undefined {
  const { shards, releasedShards } = context.state;
  const nowMs = readMonotonicMs();
  return [...shards.values(), ...releasedShards].find((shard) =>
    hasDueRecords(shard, nowMs)
  );
}

function waitForWork(context: EntryContext): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, IDLE_MS);
    context.wakeWriter = () => {
      if (!findWaitingShard(context)) return;
      clearTimeout(timer);
      context.wakeWriter = () => {};
      resolve();
    };
  });
}

async function writeShard(
  context: EntryContext,
  shard: ShardState,
): Promise<void> {
  const append = takeAppend(shard, readMonotonicMs());
  if (!append) return;
  try {
    storeAnswers(context, shard, append);
    const sentAtMs = readMonotonicMs();
    const expired = findExpiredRows(shard, computeOldestMs(context));
    const operations = createOperations(context, shard, append);
    const result = await context.platform.table.transact([
      ...operations,
      ...expired.map(({ key }) => ({ type: "delete" as const, key })),
    ]);
    recordAppend(context, readMonotonicMs() - sentAtMs);
    const isOurs = result.type === "committed" ||
      isEarlierAppend(context, shard, { append, keys: result.keys });
    if (isOurs) finishAppend(context, shard, { append, expired });
    else fenceOff(context, shard);
  } catch (thrown) {
    context.logger.warn("appendUnconfirmed", {
      shard: shard.index,
      epoch: shard.epoch,
      message: readError(thrown).message,
    });
    await waitMs(FAILED_PAUSE_MS);
  }
}

function recordAppend(context: EntryContext, tookMs: number): void {
  context.metrics.increment("platform.append");
  context.metrics.time("platform.append", tookMs);
  context.appends.count += 1;
  context.appends.totalMs += tookMs;
}

/** Rows written before this platform time are past the retention, in Unix ms. */
function computeOldestMs(context: EntryContext): number {
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
  const place = { dataCentre, shard: shard.index, epoch: shard.epoch };
  shard.rows.splice(0, expired.length);
  shard.rows.push({
    key: formatLogKey(place, append.sequence),
    writtenAtMs: readMonotonicMs() + context.view.platformOffsetMs,
  });
  decide(context, (state, clock) => {
    applyAppend(state, shard, clock.monotonicMs);
  });
}

function createOperations(
  context: EntryContext,
  shard: ShardState,
  append: NonNullable<ShardState["inFlight"]>,
): TableOperation[] {
  const { dataCentre } = context.state;
  const place = { dataCentre, shard: shard.index, epoch: shard.epoch };
  const value: LogRow = {
    owner: context.name,
    incarnation: context.incarnation,
    records: append.records,
  };
  const insert: TableOperation = {
    type: "insert",
    key: formatLogKey(place, append.sequence),
    value,
  };
  if (shard.phase === "released") return [insert];
  const key = formatRowKey("shard", `${dataCentre}/${shard.index}`);
  return [{ type: "check", key, revision: shard.revision }, insert];
}

/** Only this process writes rows of its epoch, so a row that is there is this append, whose reply was lost. */
function isEarlierAppend(
  context: EntryContext,
  shard: ShardState,
  options: { append: NonNullable<ShardState["inFlight"]>; keys: string[] },
): boolean {
  const { dataCentre } = context.state;
  const place = { dataCentre, shard: shard.index, epoch: shard.epoch };
  const logKey = formatLogKey(place, options.append.sequence);
  return options.keys.every((key) => key === logKey);
}

function fenceOff(context: EntryContext, shard: ShardState): void {
  context.logger.error("shardLost", {
    shard: shard.index,
    epoch: shard.epoch,
    message: "Another process has taken the shard; its open jobs fail here",
  });
  decide(context, (state, clock) => {
    if (shard.phase === "released" || shard.phase === "lost") return;
    dropLostShard(state, shard, clock.monotonicMs);
  });
}

function dropFinishedShards(context: EntryContext): void {
  const { state } = context;
  state.releasedShards = state.releasedShards.filter((shard) =>
    shard.openJobs > 0 || hasUnwrittenRecords(shard)
  );
}

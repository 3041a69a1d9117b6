import type { LogRecord } from "../claim/log_record.ts";
import type { ShardState } from "../own/shard_state.ts";

/** Adds the outcome of a job to the records to be appended to the shard log. */
export function recordOutcome(
  shard: ShardState,
  record: LogRecord,
  nowMs: number,
): void {
  shard.outcomes.push(record);
  shard.oldestOutcomeAtMs = Math.min(shard.oldestOutcomeAtMs, nowMs);
}

import type { LogRecord } from "../claim/log_record.ts";
import type { ShardState } from "../own/shard_state.ts";

/** Puts a job's outcome in line for the shard's log. */
export function recordOutcome(
  shard: ShardState,
  record: LogRecord,
  nowMs: number,
): void {
  shard.outcomes.push(record);
  shard.outcomesSinceMs = Math.min(shard.outcomesSinceMs, nowMs);
}

import type { ShardState } from "../own/shard_state.ts";
import { hasDueRecords } from "./has_due_records.ts";

/** Most claims, and most outcomes, that one row of the log holds. */
const MOST_RECORDS = 500;

/**
 * Takes the records for the next append; the append in flight comes first
 * until its outcome is known. Claims do not wait for outcomes: those join once
 * they are due, so that answers are stored in few objects.
 */
export function takeAppend(
  shard: ShardState,
  nowMs: number,
): NonNullable<ShardState["inFlight"]> | undefined {
  if (shard.inFlight) return shard.inFlight;
  const claims = shard.claims.splice(0, MOST_RECORDS);
  const outcomes = hasDueRecords(shard, nowMs)
    ? shard.outcomes.splice(0, MOST_RECORDS)
    : [];
  if (shard.outcomes.length === 0) shard.outcomesSinceMs = Infinity;
  const records = [...claims, ...outcomes];
  if (records.length === 0) return undefined;
  shard.inFlight = { sequence: shard.nextSequence, records };
  shard.nextSequence += 1;
  return shard.inFlight;
}

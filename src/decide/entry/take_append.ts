import type { ShardState } from "../own/shard_state.ts";
import { hasDueRecords } from "./has_due_records.ts";

/** Maximum number of claims, and of outcomes, in one row of a shard log. */
const MAX_RECORDS = 500;

/**
 * Returns the next append to a shard log and marks it as in flight; undefined
 * when no records are due. An append that is already in flight is returned again
 * until it is confirmed. Claims are appended at once. Outcomes are appended only
 * once they are due, so that many answers share an object in the store.
 */
export function takeAppend(
  shard: ShardState,
  nowMs: number,
): NonNullable<ShardState["inFlight"]> | undefined {
  if (shard.inFlight) return shard.inFlight;
  const claims = shard.claims.splice(0, MAX_RECORDS);
  const outcomes = hasDueRecords(shard, nowMs)
    ? shard.outcomes.splice(0, MAX_RECORDS)
    : [];
  if (shard.outcomes.length === 0) shard.oldestOutcomeAtMs = Infinity;
  const records = [...claims, ...outcomes];
  if (records.length === 0) return undefined;
  shard.inFlight = { sequence: shard.nextSequence, records };
  shard.nextSequence += 1;
  return shard.inFlight;
}

import type { ShardState } from "../own/shard_state.ts";

/**
 * Time for which outcomes are collected before they are appended without a
 * claim, to save appends.
 */
const OUTCOME_DELAY_MS = 100;

/**
 * Returns whether records are to be appended to the shard log now; claims and
 * appends in flight are always due.
 */
export function hasDueRecords(shard: ShardState, nowMs: number): boolean {
  if (shard.phase === "loading" || shard.phase === "lost") return false;
  if (shard.inFlight || shard.claims.length > 0) return true;
  return hasDueOutcomes(shard, nowMs);
}

function hasDueOutcomes(shard: ShardState, nowMs: number): boolean {
  if (shard.outcomes.length === 0) return false;
  if (shard.phase !== "active") return true;
  return nowMs - shard.oldestOutcomeAtMs >= OUTCOME_DELAY_MS;
}

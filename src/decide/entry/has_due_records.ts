import type { ShardState } from "../own/shard_state.ts";

/** How long outcomes are collected before they are written without a claim, in ms. */
const OUTCOME_DELAY_MS = 100;

/** Whether a shard's log is to be written now. */
export function hasDueRecords(shard: ShardState, nowMs: number): boolean {
  if (shard.phase === "loading" || shard.phase === "lost") return false;
  if (shard.inFlight || shard.claims.length > 0) return true;
  return hasDueOutcomes(shard, nowMs);
}

function hasDueOutcomes(shard: ShardState, nowMs: number): boolean {
  if (shard.outcomes.length === 0) return false;
  if (shard.phase !== "active") return true;
  return nowMs - shard.outcomesSinceMs >= OUTCOME_DELAY_MS;
}

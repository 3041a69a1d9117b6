import type { ShardState } from "../own/shard_state.ts";

/** Returns whether a shard has records that are not confirmed to be in its log. */
export function hasUnwrittenRecords(shard: ShardState): boolean {
  return shard.inFlight !== undefined || shard.claims.length > 0 ||
    shard.outcomes.length > 0;
}

import type { ShardState } from "../own/shard_state.ts";

/** Most records that one row of the log holds. */
const MOST_RECORDS = 500;

/** Takes the records for the next append; the append in flight comes first until its outcome is known. */
export function takeCommit(
  shard: ShardState,
): NonNullable<ShardState["inFlight"]> | undefined {
  if (shard.inFlight) return shard.inFlight;
  if (shard.phase === "loading" || shard.pending.length === 0) return undefined;
  const records = shard.pending.splice(0, MOST_RECORDS);
  shard.inFlight = { sequence: shard.nextSequence, records };
  shard.nextSequence += 1;
  return shard.inFlight;
}

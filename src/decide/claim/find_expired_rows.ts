import type { ShardState } from "../own/shard_state.ts";

/** Most rows that are removed along with one append. */
const MOST_REMOVED = 20;

/** Finds the oldest rows of a held shard's log that nobody needs any more. */
export function findExpiredRows(
  shard: ShardState,
  oldestMs: number,
): ShardState["rows"] {
  if (shard.phase !== "active") return [];
  const expired: ShardState["rows"] = [];
  for (const row of shard.rows) {
    if (row.writtenAtMs >= oldestMs || expired.length === MOST_REMOVED) break;
    expired.push(row);
  }
  return expired;
}

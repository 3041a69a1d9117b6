import type { ShardState } from "../own/shard_state.ts";

/** Maximum number of rows that one append removes. */
const MAX_REMOVED_ROWS = 20;

/**
 * Finds the oldest rows of an active shard's log that were written before
 * `oldestMs`, the start of the retention period in Unix ms.
 */
export function findExpiredRows(
  shard: ShardState,
  oldestMs: number,
): ShardState["rows"] {
  if (shard.phase !== "active") return [];
  const expired: ShardState["rows"] = [];
  for (const row of shard.rows) {
    if (row.writtenAtMs >= oldestMs || expired.length === MAX_REMOVED_ROWS) {
      break;
    }
    expired.push(row);
  }
  return expired;
}

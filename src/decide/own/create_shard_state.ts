import { shardChart } from "../../charts/shard_chart.ts";
import type { ShardRow } from "./shard_row.ts";
import type { ShardState } from "./shard_state.ts";

/**
 * Creates the state of a shard that this process has just acquired and whose
 * log is not loaded yet.
 */
export function createShardState(
  index: number,
  row: ShardRow,
  revision: number,
): ShardState {
  return {
    index,
    phase: shardChart.initial,
    epoch: row.epoch,
    revision,
    known: new Map(),
    windows: row.windows,
    inUse: row.inUse,
    claims: [],
    outcomes: [],
    oldestOutcomeAtMs: Infinity,
    nextSequence: 1,
    rows: [],
    unwritten: 0,
    openJobs: 0,
  };
}

import { advanceChart } from "../../charts/advance_chart.ts";
import { shardChart } from "../../charts/shard_chart.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { EntryState } from "./entry_state.ts";
import { refreshOwnedEndpoints } from "./refresh_owned_endpoints.ts";

/**
 * Releases a shard that was handed over to another process; its open jobs still
 * run to their end in this process.
 */
export function releaseShard(state: EntryState, shard: ShardState): void {
  shard.phase = advanceChart(shardChart, shard.phase, "release");
  state.shards.delete(shard.index);
  state.releasedShards.push(shard);
  refreshOwnedEndpoints(state);
}

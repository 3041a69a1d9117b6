import { advanceChart } from "../../charts/advance_chart.ts";
import { shardChart } from "../../charts/shard_chart.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { EntryState } from "./entry_state.ts";
import { refreshEndpoints } from "./refresh_endpoints.ts";

/** Retires a shard that was handed over; its running jobs end here. */
export function releaseShard(state: EntryState, shard: ShardState): void {
  shard.phase = advanceChart(shardChart, shard.phase, "release");
  state.shards.delete(shard.index);
  state.releasedShards.push(shard);
  refreshEndpoints(state);
}

import { advanceChart } from "../../charts/advance_chart.ts";
import { shardChart } from "../../charts/shard_chart.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { EntryState } from "./entry_state.ts";
import { failJob } from "./fail_job.ts";
import { refreshOwnedEndpoints } from "./refresh_owned_endpoints.ts";
import { refuseClaimingJob } from "./refuse_claiming_job.ts";

/**
 * Drops a shard that another process has taken: fails or refuses its open jobs
 * and discards its unwritten records.
 */
export function dropLostShard(
  state: EntryState,
  shard: ShardState,
  nowMs: number,
): void {
  shard.phase = advanceChart(shardChart, shard.phase, "lose");
  if (state.shards.get(shard.index) === shard) {
    state.shards.delete(shard.index);
  }
  for (const job of state.jobs.values()) {
    if (job.shard !== shard || job.answer) continue;
    if (job.phase === "claiming") {
      refuseClaimingJob(state, job, {
        kind: "notOwner",
        message: "Another entry took over before the job began; try again",
        nowMs,
      });
    } else {
      const message =
        "This entry lost its lease while the job ran; check before submitting under a new id";
      failJob(state, job, { failure: { kind: "ownerLost", message }, nowMs });
    }
  }
  shard.claims = [];
  shard.outcomes = [];
  shard.inFlight = undefined;
  shard.unwritten = 0;
  refreshOwnedEndpoints(state);
}

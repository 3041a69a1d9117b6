import { advanceChart } from "../../charts/advance_chart.ts";
import { shardChart } from "../../charts/shard_chart.ts";
import type { KnownSubmission } from "../claim/known_submission.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { EntryState } from "./entry_state.ts";
import { limitTakenOverEndpoints } from "../route/limit_taken_over_endpoints.ts";
import { failJobOfLostOwner } from "./fail_job_of_lost_owner.ts";
import { refreshOwnedEndpoints } from "./refresh_owned_endpoints.ts";

/**
 * Starts to accept jobs for a shard whose log was loaded, and fails the open
 * jobs of lost owners.
 */
export function activateShard(
  state: EntryState,
  shard: ShardState,
  options: {
    /** Submissions from the shard log, by job key. */
    known: Map<string, KnownSubmission>;
    /** Incarnations whose leases are valid; they end their own jobs. */
    liveIncarnations: Set<string>;
  },
): void {
  shard.known = options.known;
  shard.phase = advanceChart(shardChart, shard.phase, "activate");
  for (const [key, known] of shard.known) {
    if (known.status !== "open") continue;
    if (options.liveIncarnations.has(known.incarnation)) continue;
    failJobOfLostOwner(shard, key, known);
  }
  refreshOwnedEndpoints(state);
  limitTakenOverEndpoints(state.scheduler, shard.inUse);
}

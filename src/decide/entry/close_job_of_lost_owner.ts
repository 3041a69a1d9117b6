import type { KnownSubmission } from "../claim/known_submission.ts";
import type { ShardState } from "../own/shard_state.ts";
import { failJobOfLostOwner } from "./fail_job_of_lost_owner.ts";

/**
 * Closes the open job of a lost owner with the outcome that the owner still
 * wrote to the shard log (`written`); without one the job fails.
 */
export function closeJobOfLostOwner(
  shard: ShardState,
  key: string,
  written: KnownSubmission | undefined,
): void {
  const known = shard.known.get(key);
  if (known?.status !== "open") return;
  if (written && written.status !== "open") shard.known.set(key, written);
  else failJobOfLostOwner(shard, key, known);
}

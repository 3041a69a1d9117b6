import type { KnownSubmission } from "../claim/known_submission.ts";
import type { ShardState } from "../own/shard_state.ts";

/** Closes a job whose owner was lost as failed, in memory and in the log. */
export function closeLostJob(
  shard: ShardState,
  key: string,
  known: KnownSubmission,
): void {
  known.status = "failed";
  known.mayHaveRun = true;
  known.failure = {
    kind: "ownerLost",
    message:
      "The entry that ran the job was lost; check what ran before submitting under a new id",
  };
  shard.pending.push({
    type: "failed",
    key,
    digest: known.digest,
    failure: known.failure,
    mayHaveRun: true,
  });
}

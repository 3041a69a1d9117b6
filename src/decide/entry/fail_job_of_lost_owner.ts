import type { KnownSubmission } from "../claim/known_submission.ts";
import type { ShardState } from "../own/shard_state.ts";
import { recordOutcome } from "./record_outcome.ts";

/**
 * Marks the open job of a lost owner as failed, in memory and in the records to
 * be appended to the shard log.
 */
export function failJobOfLostOwner(
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
  const { digest, failure } = known;
  recordOutcome(
    shard,
    { type: "failed", key, digest, failure, mayHaveRun: true },
    0,
  );
}

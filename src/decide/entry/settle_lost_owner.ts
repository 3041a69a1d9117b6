import type { KnownSubmission } from "../claim/known_submission.ts";
import type { ShardState } from "../own/shard_state.ts";
import { closeLostJob } from "./close_lost_job.ts";

/** Settles a job whose former owner is gone: by the outcome it still wrote, or as lost. */
export function settleLostOwner(
  shard: ShardState,
  key: string,
  written: KnownSubmission | undefined,
): void {
  const known = shard.known.get(key);
  if (known?.status !== "open") return;
  if (written && written.status !== "open") shard.known.set(key, written);
  else closeLostJob(shard, key, known);
}

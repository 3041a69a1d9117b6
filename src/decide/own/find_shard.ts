import { createHash } from "node:crypto";

/**
 * Finds the shard of a job by the hash of its key; `shards` is the number of
 * shards of the home data centre of the job.
 */
export function findShard(key: string, shards: number): number {
  return createHash("sha256").update(key).digest().readUInt32BE(0) % shards;
}

import { createHash } from "node:crypto";

/** Finds the shard of a job key within its home data centre. */
export function findShard(key: string, shards: number): number {
  return createHash("sha256").update(key).digest().readUInt32BE(0) % shards;
}

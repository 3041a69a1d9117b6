/** What a process should do about the shards of its data centre. */
export type OwnershipAction =
  /** Take a shard that no process, or a lost one, holds. */
  | { type: "acquire"; shard: number; from?: string }
  /** Give a shard of ours to a process that is preferred for it. */
  | { type: "handOver"; shard: number; to: string };

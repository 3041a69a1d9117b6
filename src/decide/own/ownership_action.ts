/** Action that a process takes for a shard of its data centre. */
export type OwnershipAction =
  /** Acquire a shard that has no holder or whose holder is lost; `from` names the lost holder. */
  | { type: "acquire"; shard: number; from?: string }
  /** Hand a shard that this process holds over to the preferred holder. */
  | { type: "handOver"; shard: number; to: string };

/** The states of charts/shard.json. */
export type ShardPhase =
  | "loading"
  | "active"
  | "handingOver"
  | "lost"
  | "released";

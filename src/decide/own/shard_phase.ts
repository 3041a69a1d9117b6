/** States of a shard at the process that holds it, as in charts/shard.json. */
export type ShardPhase =
  | "loading"
  | "active"
  | "handingOver"
  | "lost"
  | "released";

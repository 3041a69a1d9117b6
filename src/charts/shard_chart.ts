import definition from "../../charts/shard.json" with { type: "json" };
import type { ShardPhase } from "../decide/own/shard_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The state chart of a shard at its holder. */
export const shardChart = loadChart<
  ShardPhase,
  "activate" | "handOver" | "keep" | "lose" | "release"
>(definition);

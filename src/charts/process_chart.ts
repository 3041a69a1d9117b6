import definition from "../../charts/process.json" with { type: "json" };
import type { ProcessPhase } from "./process_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The state chart of an entry process. */
export const processChart = loadChart<
  ProcessPhase,
  "ready" | "drain" | "finish"
>(definition);

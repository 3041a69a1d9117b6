import definition from "../../charts/lease.json" with { type: "json" };
import type { LeasePhase } from "../decide/own/lease_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The state chart of a process lease. */
export const leaseChart = loadChart<
  LeasePhase,
  "acquire" | "renew" | "lapse" | "lose" | "release"
>(definition);

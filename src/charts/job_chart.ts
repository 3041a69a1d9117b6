import definition from "../../charts/job.json" with { type: "json" };
import type { JobPhase } from "../decide/job/job_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The state chart of a job. */
export const jobChart = loadChart<
  JobPhase,
  "claim" | "refuse" | "fail" | "complete"
>(definition);

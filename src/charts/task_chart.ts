import definition from "../../charts/task.json" with { type: "json" };
import type { TaskPhase } from "../decide/job/task_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The state chart of a task. */
export const taskChart = loadChart<
  TaskPhase,
  "enqueue" | "start" | "finish" | "retry" | "fail" | "cancel"
>(definition);

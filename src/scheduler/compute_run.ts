import { isKeptRun } from "./is_kept_run.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Run numbers of one holder; the token before them makes them rise across holders. */
const RUNS_PER_TOKEN = 1_000;

/** Computes the number of a task's next run, which tells whether its job is stored. */
export function computeRun(task: ScheduledTask, token: number): number {
  const next = Math.max(task.run, token * RUNS_PER_TOKEN) + 1;
  const isKept = task.job.order.isKept === true;
  return isKeptRun(next) === isKept ? next : next + 1;
}

import { isStoredJobRun } from "./is_stored_job_run.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Run numbers per fencing token, so that runs of a later scheduler have higher numbers. */
const RUNS_PER_TOKEN = 1_000;

/** Computes the number of a task's next run: higher than those of all earlier runs; even for a stored job and odd for any other. */
export function computeRunNumber(task: ScheduledTask, token: number): number {
  const next = Math.max(task.run, token * RUNS_PER_TOKEN) + 1;
  const isStored = task.job.order.isKept === true;
  return isStoredJobRun(next) === isStored ? next : next + 1;
}

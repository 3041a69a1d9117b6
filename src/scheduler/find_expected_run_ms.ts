import { predictRunMs } from "./predict_run_ms.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds the expected run time of a task on an average endpoint, in ms: as predicted when its job was submitted, or from the route's runs since then; undefined if it is not known. */
export function findExpectedRunMs(
  state: SchedulerState,
  { job, step }: ScheduledTask,
): number | undefined {
  return job.runMs[step] ??
    predictRunMs(state, job.order.route, job.order.steps[step]);
}

import { createRunTimeEstimate } from "./create_run_time_estimate.ts";
import type { RunTimeEstimate } from "./run_time_estimate.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds, or begins, the estimate for a client's tasks of a service. */
export function findRunTimeEstimate(
  scheduler: SchedulerState,
  client: string,
  service: string,
): RunTimeEstimate {
  const key = `${client}/${service}`;
  let estimate = scheduler.estimates.get(key);
  if (!estimate) {
    estimate = createRunTimeEstimate();
    scheduler.estimates.set(key, estimate);
  }
  return estimate;
}

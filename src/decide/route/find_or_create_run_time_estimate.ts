import { createRunTimeEstimate } from "./create_run_time_estimate.ts";
import type { RunTimeEstimate } from "./run_time_estimate.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/** Finds the run time estimate for the tasks of a client at a service, or creates it. */
export function findOrCreateRunTimeEstimate(
  scheduler: EntrySchedulerState,
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

import type { SchedulerState } from "./scheduler_state.ts";

/** Whether there may be stored jobs that this scheduler has not heard of; so long as they have not been read there may. */
export function canHaveStoredJobs(
  state: Pick<SchedulerState, "hasKeptJobs" | "areStoredJobsRead">,
): boolean {
  return state.hasKeptJobs || !state.areStoredJobsRead;
}

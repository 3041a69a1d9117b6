import type { SchedulerState } from "./scheduler_state.ts";

/** Whether there may be stored jobs that this scheduler does not know of; always true before the stored jobs have been read. */
export function canHaveStoredJobs(
  state: Pick<SchedulerState, "hasKeptJobs" | "areStoredJobsRead">,
): boolean {
  return state.hasKeptJobs || !state.areStoredJobsRead;
}

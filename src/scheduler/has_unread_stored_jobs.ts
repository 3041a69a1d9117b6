import type { SchedulerState } from "./scheduler_state.ts";

/** Whether the store may have a job with runs or run ends that this scheduler has not read yet. */
export function hasUnreadStoredJobs(
  { areStoredJobsRead, postponedJobs }: SchedulerState,
): boolean {
  return !areStoredJobsRead || postponedJobs.size > 0;
}

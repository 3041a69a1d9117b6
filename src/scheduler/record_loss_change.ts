import { recordJobChange } from "./record_job_change.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Records that the lost runs of a job's task have changed, and must be saved before the task starts again. */
export function recordLossChange(
  state: SchedulerState,
  job: ScheduledJob,
): void {
  job.lossChanges += 1;
  recordJobChange(state, job);
}

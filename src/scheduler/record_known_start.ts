import { recordJobChange } from "./record_job_change.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Records that a task of the job has started at an endpoint, as that has said so. */
export function recordKnownStart(
  state: SchedulerState,
  job: ScheduledJob,
): void {
  if (job.hasKnownStart) return;
  job.hasKnownStart = true;
  recordJobChange(state, job);
}

import type { JobState } from "../job/job_state.ts";
import type { EntryState } from "./entry_state.ts";
import { failJob } from "./fail_job.ts";
import { refuseClaimingJob } from "./refuse_claiming_job.ts";

/** Cancels a job on request of its client; a job that has ended does not change. */
export function cancelJob(
  state: EntryState,
  job: JobState,
  nowMs: number,
): void {
  if (job.answer) return;
  const kind = "cancelled";
  const message = "The client cancelled the job";
  if (job.phase === "claiming") {
    refuseClaimingJob(state, job, { kind, message, nowMs });
  } else {
    failJob(state, job, { failure: { kind, message }, nowMs });
  }
}

import type { JobState } from "../job/job_state.ts";
import type { EntryState } from "./entry_state.ts";
import { startJob } from "./start_job.ts";

/** Starts a job whose claim exists only in the memory of this process so far. */
export function startWithoutDurableClaim(
  state: EntryState,
  job: JobState,
): void {
  job.claim = "memory";
  job.shard.unwritten += 1;
  startJob(state, job);
}

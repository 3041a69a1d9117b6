import type { JobState } from "../job/job_state.ts";
import type { EntryState } from "./entry_state.ts";

/** Changes the memory that a job's requests and results take, by `change` bytes. */
export function changeJobBytes(
  state: EntryState,
  job: JobState,
  change: number,
): void {
  job.bytes += change;
  state.jobBytes += change;
}

import type { JobState } from "../job/job_state.ts";

/** A task that waits for a slot; `index` is its index in the job. */
export type QueuedTask = { job: JobState; index: number };

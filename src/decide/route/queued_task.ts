import type { JobState } from "../job/job_state.ts";

/** A task that waits for a slot. */
export type QueuedTask = { job: JobState; index: number };

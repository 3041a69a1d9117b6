import type { JobState } from "../job/job_state.ts";

/** An attempt to run a task that was sent to an endpoint and has not ended. */
export type Attempt = {
  id: number;
  job: JobState;
  /** Index of the task in the job. */
  index: number;
  endpointId: string;
  /** Monotonic time at which the task was sent, in ms. */
  startedAtMs: number;
};

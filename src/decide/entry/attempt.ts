import type { JobState } from "../job/job_state.ts";

/** A task that was handed to an endpoint and has not come back. */
export type Attempt = {
  id: number;
  job: JobState;
  index: number;
  endpointId: string;
  /** Monotonic time of the hand-over, in ms. */
  startedAtMs: number;
};

import type { JobState } from "../job/job_state.ts";

/** A task that the scheduler gave to an endpoint. */
export type Dispatch = {
  job: JobState;
  index: number;
  endpointId: string;
};

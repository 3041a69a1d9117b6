import type { JobState } from "../job/job_state.ts";

/** A task for which the scheduler has chosen an endpoint. */
export type Dispatch = {
  job: JobState;
  /** Index of the task in the job. */
  index: number;
  endpointId: string;
};

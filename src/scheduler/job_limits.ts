/** Largest sizes of one job. Each task and each step costs memory and time at the scheduler, however few bytes describe it. */
export type JobLimits = {
  tasks: number;
  steps: number;
  /** Entries of all steps' `after` together. */
  dependencies: number;
  specBytes: number;
};

/** Largest sizes of one job. Each task and each step costs memory and time at the scheduler, however few bytes describe it. */
export const JOB_LIMITS = {
  tasks: 10_000,
  steps: 1_000,
  /** Entries of all steps' `after` together. */
  dependencies: 10_000,
  specBytes: 4_000,
  /** Length of any other text. */
  textLength: 500,
};

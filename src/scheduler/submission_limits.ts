import type { JobLimits } from "./job_limits.ts";

/** Limits of a job that callers submit: about twice the largest job of the target, whose progress fits into a row of the store. */
export const SUBMISSION_LIMITS: JobLimits = {
  tasks: 4_000,
  steps: 1_000,
  dependencies: 10_000,
  specBytes: 4_000,
};

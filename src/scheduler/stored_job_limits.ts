import type { JobLimits } from "./job_limits.ts";
import { MAX_TASKS_IN_MEMORY } from "./max_tasks_in_memory.ts";

/** Limits of a stored job, which an earlier version may have accepted: it runs if it can be held in memory. The rest is bounded by the size of a row. */
export const STORED_JOB_LIMITS: JobLimits = {
  tasks: MAX_TASKS_IN_MEMORY,
  steps: Infinity,
  dependencies: Infinity,
  specBytes: Infinity,
};

import type { JobAnswer } from "../job/job_answer.ts";

/**
 * Result of admission: the expected run time of each task and of the whole job
 * in ms, or the refusal.
 */
export type Admission =
  | { type: "admitted"; expectedMs: number[]; workMs: number }
  | { type: "refused"; answer: JobAnswer };

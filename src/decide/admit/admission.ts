import type { JobAnswer } from "../job/job_answer.ts";

/** Whether a job is taken on, and what it is expected to cost. */
export type Admission =
  | { type: "admitted"; expectedMs: number[]; workMs: number }
  | { type: "refused"; answer: JobAnswer };

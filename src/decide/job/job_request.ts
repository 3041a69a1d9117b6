import type { TaskRequest } from "./task_request.ts";

/** One job as a caller submitted it, already checked for shape. */
export type JobRequest = {
  client: string;
  /** Chosen by the client; the same id names the same submission. */
  submissionId: string;
  /** Time from admission until the job fails, in ms. */
  deadlineMs: number;
  tasks: TaskRequest[];
};

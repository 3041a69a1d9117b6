import type { TaskRequest } from "./task_request.ts";

/** A job as submitted by a caller, after validation. */
export type JobRequest = {
  client: string;
  /** Chosen by the client; a request with the same id is a resubmission of the same job. */
  submissionId: string;
  /** Time from admission after which an unfinished job fails, in ms. */
  deadlineMs: number;
  tasks: TaskRequest[];
};

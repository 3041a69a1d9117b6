import type { JobRequest } from "../job/job_request.ts";

/** One submission as it reached the shard's holder. */
export type Submission = {
  request: JobRequest;
  digest: string;
  shard: number;
  callerId: string;
};

import type { JobRequest } from "../job/job_request.ts";

/** A submission as received by the holder of its shard. */
export type Submission = {
  request: JobRequest;
  /** Digest of the submitted tasks. */
  digest: string;
  /** Index of the shard. */
  shard: number;
  callerId: string;
};

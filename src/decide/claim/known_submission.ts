import type { Failure } from "../job/failure.ts";

/** State of a submission according to the shard log. */
export type KnownSubmission = {
  /** Digest of the submitted tasks. */
  digest: string;
  /** "open" from the claim until the outcome is recorded. */
  status: "open" | "complete" | "failed";
  /** Name and incarnation of the process that wrote the record. */
  owner: string;
  incarnation: string;
  /** Time of the record on the platform's clock, in Unix ms. */
  atMs: number;
  failure?: Failure;
  mayHaveRun?: boolean;
  /** Name of the object that stores the answer. */
  answer?: string;
};

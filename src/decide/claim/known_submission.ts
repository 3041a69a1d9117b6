import type { Failure } from "../job/failure.ts";

/** What a shard's log says about a submission. */
export type KnownSubmission = {
  digest: string;
  status: "open" | "complete" | "failed";
  owner: string;
  incarnation: string;
  /** When the record was written, by the platform's clock, in Unix ms. */
  atMs: number;
  failure?: Failure;
  mayHaveRun?: boolean;
  /** The object that holds the answer. */
  answer?: string;
};

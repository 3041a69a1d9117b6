import type { Failure } from "../job/failure.ts";

/** One entry of a shard's log in the platform's table. */
export type LogRecord =
  /** The shard's holder may start the submission's tasks from here on. */
  | { type: "claim"; key: string; digest: string }
  | { type: "complete"; key: string; digest: string; answer?: string }
  | {
    type: "failed";
    key: string;
    digest: string;
    failure: Failure;
    mayHaveRun: boolean;
  }
  /** A claim that was never used; the submission may be claimed anew. */
  | { type: "withdrawn"; key: string };

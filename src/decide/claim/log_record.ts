import type { Failure } from "../job/failure.ts";

/** One record of a shard log in the platform table. */
export type LogRecord =
  /** The holder of the shard may start the tasks of the submission once this record is durable. */
  | { type: "claim"; key: string; digest: string }
  | { type: "complete"; key: string; digest: string; answer?: string }
  | {
    type: "failed";
    key: string;
    digest: string;
    failure: Failure;
    mayHaveRun: boolean;
  }
  /** Cancels a claim of which no task started; the submission may be claimed again. */
  | { type: "withdrawn"; key: string };

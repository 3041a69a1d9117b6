import type { Failure } from "./failure.ts";

/** Answer to a caller about a job. */
export type JobAnswer =
  /**
   * All tasks succeeded; `results` are their replies as JSON text, in the order
   * of the submission.
   */
  | { status: "complete"; results: string[] }
  /**
   * The job failed and will not run again; some of its tasks may have run if
   * `mayHaveRun` is set.
   */
  | { status: "failed"; failure: Failure; mayHaveRun: boolean }
  /** The request was not accepted; `notRun` is set only if certainly no task ran. */
  | {
    status: "refused";
    failure: Failure;
    notRun: boolean;
    retryAfterMs?: number;
  }
  /** The job has not ended yet. */
  | { status: "pending"; retryAfterMs: number };

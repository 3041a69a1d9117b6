import type { Failure } from "./failure.ts";

/** What a caller is told about a job. */
export type JobAnswer =
  /** Every task's reply as JSON text, in the order of the submission. */
  | { status: "complete"; results: string[] }
  /** Final: tasks may have run where mayHaveRun says so. */
  | { status: "failed"; failure: Failure; mayHaveRun: boolean }
  /** This request was not taken on; notRun only where it is certain. */
  | {
    status: "refused";
    failure: Failure;
    notRun: boolean;
    retryAfterMs?: number;
  }
  /** Not decided yet. */
  | { status: "pending"; retryAfterMs: number };

import type { ModelJob } from "./model_job.ts";

/** What became of a job of the load model. */
export type ModelOutcome = {
  job: ModelJob;
  /** Earned share of the job's credit, 0 to 1. */
  creditShare: number;
  /** Time from the arrival until the first task began, in ms; for a job of which none began, until the job ended. */
  firstStartMs: number;
  /** Whether the job was passed to another group. */
  wasPassed: boolean;
};

import type { RunEnd } from "../../src/scheduler/run_end.ts";
import type { ModelJob } from "./model_job.ts";

/** A simulated endpoint's process. */
export type ModelWorker = {
  /** Starts a task of a job, given by its index. */
  start(run: { job: ModelJob; index: number; task: string; run: number }): void;
  /** Ends a run early; ignores one that has ended. */
  stop(task: string, run: number): void;
  /** Ends all runs early. */
  stopAll(): void;
  /** Lists the active runs, and the run ends that were not listed before. */
  list(): {
    running: { task: string; run: number; progress: number }[];
    ended: RunEnd[];
  };
};

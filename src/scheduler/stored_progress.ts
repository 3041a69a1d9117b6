import type { LostRun } from "./lost_run.ts";

/** Progress of a stored job, as an earlier scheduler has saved it. */
export type StoredProgress = {
  /** Whether each task is done, by the task's position in the job. */
  done: boolean[];
  /** Failed runs: the task's position in the job and the run number. */
  failedRuns: { task: number; run: number }[];
  /** Runs that were lost with their endpoints, with the task's position in the job. Default: none. */
  lostRuns?: (Omit<LostRun, "lostMs" | "ageMs"> & { task: number })[];
  /** Whether no task is known to have started. Default: false. */
  isUnstarted?: boolean;
  /** Runs whose start is doubtful, with the task's position in the job; `UNKNOWN_RUN` for one whose number is not known. Default: none. */
  doubtfulRuns?: { task: number; run: number }[];
};

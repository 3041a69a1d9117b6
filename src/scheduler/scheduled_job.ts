import type { JobOrder } from "./job_order.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** The scheduler's state of a job. */
export type ScheduledJob = {
  order: JobOrder;
  /** Memory of the order, in bytes. */
  orderBytes: number;
  /** Names of the VMs whose callers wait for the job. */
  vms: Set<string>;
  tasks: ScheduledTask[];
  /** Number of tasks in phase `blocked`. */
  blockedTaskCount: number;
  /** Number of tasks in phase `waiting`; 0 once the job has ended. */
  waitingTaskCount: number;
  /** Number of tasks that are not done. */
  openTaskCount: number;
  /** When the caller's request arrived, by the scheduler's clock, in ms. */
  arrivedMs: number;
  /** Expected run time of a task of each step on an average endpoint, in ms; undefined if it was not known when the job was submitted. */
  runMs: (number | undefined)[];
  /** Expected run time of the critical path of the steps on an average endpoint, in ms. */
  criticalPathMs: number;
  /** Until when the answer meets the latency objective, in ms; an estimate, as it is based on `criticalPathMs`. */
  objectiveMs: number;
  /** After this the answer is useless to the caller, in ms. */
  uselessAfterMs: number;
  /** Whether an endpoint may have started a task of the job. */
  mayHaveStarted: boolean;
  /** Whether a task is known to have started. May be false although an earlier scheduler has started one. */
  hasKnownStart: boolean;
  /** Absent while the job is open. */
  outcome?: JobOutcome;
  /** When the job ended, in ms; 0 before that. */
  endedMs: number;
  /** When the store confirmed the end of the stored job, in ms; absent before that. */
  endStoredMs?: number;
  /** Run ends of a stored job whose effect is not in the store yet. */
  unsavedEnds: RunEndId[];
  /** Number of changes of the tasks' lost runs, and how many of these are in the store. */
  lossChanges: number;
  savedLossChanges: number;
  /** When the job was orphaned: its last VM was lost while a caller waited there, in ms. */
  orphanedMs?: number;
  /** How the last VM was lost: its link was closed, or it became unresponsive. */
  orphanCause?: "closed" | "silent";
};

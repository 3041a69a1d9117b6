import type { JobOrder } from "./job_order.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** A job at the scheduler. */
export type ScheduledJob = {
  order: JobOrder;
  /** Names of the VMs whose callers wait for it. */
  vms: Set<string>;
  tasks: ScheduledTask[];
  /** Tasks that wait for room. */
  waitingCount: number;
  /** Tasks that are not done. */
  openCount: number;
  /** When the caller's request arrived, by the scheduler's clock, in ms. */
  arrivedMs: number;
  /** Expected run time of the longest chain of steps on an average endpoint, in ms. */
  criticalPathMs: number;
  /** Until when the answer is in time, as far as can be told, in ms. */
  objectiveMs: number;
  /** After this the answer is worth nothing to the caller, in ms. */
  uselessMs: number;
  /** Whether an endpoint may have begun a task. */
  mayHaveStarted: boolean;
  /** Whether a task's start is known; an earlier scheduler may have begun a job that shows none. */
  isStarted: boolean;
  outcome?: JobOutcome;
  endedMs: number;
  /** Ends of a stored job's runs that the store does not know of yet. */
  unsavedEnds: RunEndId[];
  /** When its last VM was lost without having abandoned it, in ms. */
  orphanedMs?: number;
  /** How that VM was lost. */
  orphanedBy?: "closed" | "silent";
};

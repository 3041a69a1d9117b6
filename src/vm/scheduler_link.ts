import type { JobOrder } from "../scheduler/job_order.ts";
import type { KnownProgress } from "../scheduler/known_progress.ts";

/** A VM's side of its link to a scheduler, in this process or another. */
export type SchedulerLink = {
  /** Epoch of the scheduler when the link was opened. */
  epoch: number;
  /** Whether this links the VM to its own scheduler in solo mode. */
  isSolo: boolean;
  /** Submits or resubmits a job. */
  submit(order: JobOrder, progress: KnownProgress): void;
  /** Ends a job early: its callers no longer wait, or one has cancelled it. Default reason: abandoned. */
  abandon(jobId: string, reason?: "abandoned" | "cancelled"): void;
  /** Leaves the scheduler for a later one; resolves when its remaining messages have been received, or after a time-out. */
  leave(): Promise<void>;
  close(): void;
};

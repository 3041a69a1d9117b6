import type { JobOrder } from "../scheduler/job_order.ts";
import type { KnownProgress } from "../scheduler/known_progress.ts";

/** A VM's way to the scheduler, in this process or another. */
export type SchedulerLink = {
  epoch: number;
  submit(order: JobOrder, progress: KnownProgress): void;
  abandon(jobId: string): void;
  close(): void;
};

import type { ScheduledJob } from "./scheduled_job.ts";

/** Whether somebody counts on this scheduler for a job: without a VM that waits it may live on elsewhere. */
export function isWanted(job: ScheduledJob): boolean {
  return job.order.isKept === true || job.vms.size > 0;
}

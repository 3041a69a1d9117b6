import type { ScheduledJob } from "./scheduled_job.ts";

/** Whether this scheduler is responsible for a job: the job is stored, or a VM waits for it. A best-effort job without a VM may have moved to another scheduler. */
export function isWanted(job: ScheduledJob): boolean {
  return job.order.isKept === true || job.vms.size > 0;
}

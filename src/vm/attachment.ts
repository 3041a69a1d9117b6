import type { JobOrder } from "../scheduler/job_order.ts";
import type { KnownProgress } from "../scheduler/known_progress.ts";
import type { VmReport } from "./vm_report.ts";

/** The scheduler's side of one VM's link. */
export type Attachment = {
  /** Called with each report of the VM; the first one follows the attachment at once. */
  report(report: VmReport): void;
  /** Submits or resubmits a job; ignored once the VM has left. */
  submit(order: JobOrder, progress: KnownProgress): void;
  /** Ends a job early: its callers have disconnected, or one of them cancelled it. Default reason: abandoned. */
  abandon(jobId: string, reason?: "abandoned" | "cancelled"): void;
  /** The VM moves to a later scheduler; this scheduler starts no more tasks of the VM's jobs. */
  leave(): void;
  /** The link is lost: closed, or the VM has sent nothing for too long. */
  handleLost(how: "closed" | "silent"): void;
};

import type { JobOrder } from "../scheduler/job_order.ts";
import type { KnownProgress } from "../scheduler/known_progress.ts";
import type { VmReport } from "./vm_report.ts";

/** A message from a VM to the scheduler over its link. */
export type VmMessage =
  /** Sent first, and then at a fixed interval. */
  | { type: "report"; report: VmReport }
  | { type: "submit"; order: JobOrder; progress: KnownProgress }
  /** Ends a job early: its callers have disconnected, or one of them cancelled it. Default reason: abandoned. */
  | { type: "abandon"; jobId: string; reason?: "abandoned" | "cancelled" }
  /** The VM moves to a later scheduler; the scheduler that receives the message starts no more tasks of the VM's jobs. */
  | { type: "leave" };

import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { SchedulerStatus } from "./scheduler_status.ts";

/** What the scheduler says to a VM over its link. */
export type SchedulerMessage =
  /** Sent first, and then at each beat. */
  | { type: "status"; status: SchedulerStatus }
  | { type: "placed"; task: string; endpointId: string }
  | { type: "done"; task: string }
  | { type: "ended"; jobId: string; outcome: JobOutcome }
  | { type: "passed"; jobId: string; group: string }
  /** This process is not the scheduler; here is whom it knows as the one. */
  | { type: "redirect"; to: SchedulerRow }
  /** Asks the VM to take over at once. */
  | { type: "resignation"; reason: string }
  /** All that the scheduler had to say has been said. */
  | { type: "left" };

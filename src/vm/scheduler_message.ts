import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { SchedulerStatus } from "./scheduler_status.ts";

/** A message from the scheduler to a VM over its link. */
export type SchedulerMessage =
  /** The heartbeat; also the first message. */
  | { type: "status"; status: SchedulerStatus }
  /** A task was sent to an endpoint. */
  | { type: "placed"; task: string; endpointId: string }
  | { type: "done"; task: string }
  | { type: "ended"; jobId: string; outcome: JobOutcome }
  /** A job that has not started is passed to another group's scheduler. */
  | { type: "passed"; jobId: string; group: string }
  /** The process is not the scheduler; `to` is the scheduler row that it knows. */
  | { type: "redirect"; to: SchedulerRow }
  /** Asks the VM to take over at once. */
  | { type: "resignation"; reason: string }
  /** The last message: the scheduler has stopped, or the VM has left it. */
  | { type: "left" };

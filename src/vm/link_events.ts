import type { SchedulerStatus } from "./scheduler_status.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";

/** Handlers for the scheduler's messages over a link. */
export type LinkEvents = {
  /** A task was sent to an endpoint. */
  placed(task: string, endpointId: string): void;
  /** A task is done. */
  done(task: string): void;
  /** A job has ended. */
  ended(jobId: string, outcome: JobOutcome): void;
  /** A job that has not started is passed to another group's scheduler. */
  passed(jobId: string, group: string): void;
  /** The scheduler's heartbeat. */
  status(status: SchedulerStatus): void;
  /** No further messages follow: the scheduler has stopped, or this VM has left it. */
  left(): void;
  /** The scheduler asks this VM to take over. */
  resignation(reason: string): void;
};

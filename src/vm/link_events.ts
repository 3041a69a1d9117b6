import type { SchedulerStatus } from "./scheduler_status.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";

/** What comes from the scheduler over a link. */
export type LinkEvents = {
  placed(task: string, endpointId: string): void;
  done(task: string): void;
  ended(jobId: string, outcome: JobOutcome): void;
  /** The job has not begun and goes to another group's scheduler. */
  passed(jobId: string, group: string): void;
  /** The scheduler's beat: its view of the linked VMs, in the order of succession. */
  status(status: SchedulerStatus): void;
  /** The scheduler has said all that it had to say: it ends, or this VM has left. */
  left(): void;
  /** The scheduler asks this VM to take over. */
  resignation(reason: string): void;
};

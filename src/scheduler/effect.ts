import type { JobOutcome } from "./job_outcome.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** What the scheduler wants done; carried out by the VM that holds the role. */
export type Effect =
  | {
    type: "startTask";
    endpointId: string;
    task: ScheduledTask;
    run: number;
    /** End of the lease, by the endpoint's clock, in ms. */
    leaseEndMs: number;
  }
  | { type: "stopRun"; endpointId: string; task: string; run: number }
  | { type: "tellPlaced"; vms: string[]; task: string; endpointId: string }
  | { type: "tellDone"; vms: string[]; task: string }
  | { type: "tellEnded"; vms: string[]; jobId: string; outcome: JobOutcome }
  | { type: "log"; event: SchedulerEvent; fields: LogValues };

type SchedulerEvent =
  | "jobAccepted"
  | "jobEnded"
  | "taskPlaced"
  | "taskEnded"
  | "taskRequeued"
  | "startUnanswered"
  | "endpointListed"
  | "endpointSilent"
  | "endpointLapsed"
  | "endpointTaken"
  | "endpointSlow"
  | "taskMoved"
  | "leaseNotExtended"
  | "leaseEnded"
  | "endpointReclaimed"
  | "endpointReborn"
  | "endpointRested"
  | "endpointAdded"
  | "endpointDraining"
  | "endpointGone"
  | "strangerStopped"
  | "jobOrphaned";

type LogValues = Record<string, string | number | boolean | undefined>;

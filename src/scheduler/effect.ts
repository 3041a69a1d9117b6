import type { EventName } from "../log/event_name.ts";
import type { EventFields } from "../log/event_fields.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** An order or message that the scheduler's state machine returns; the VM that holds the scheduler role carries it out. */
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
  | { type: "notifyPlaced"; vms: string[]; task: string; endpointId: string }
  | { type: "notifyDone"; vms: string[]; task: string }
  | { type: "notifyEnded"; vms: string[]; jobId: string; outcome: JobOutcome }
  | { type: "notifyPassed"; vms: string[]; jobId: string; group: string }
  | { type: "log"; event: EventName; fields: EventFields };

import type { Attachment } from "./attachment.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { LinkEvents } from "./link_events.ts";

/** A scheduler that runs in this process, for the group or in solo mode. */
export type SchedulerHost = {
  /** Current epoch; a raise of the epoch changes it. */
  epoch: number;
  /** Links a VM; `events` receives the scheduler's messages to it. */
  attach(vm: string, events: LinkEvents): Attachment;
  /** Names of the linked VMs that may take over, in succession order. */
  listSuccessors(): string[];
  /** Asks the first suitable VM of the succession order to take over; false when there is none. Unless the reason is `stop`, the VM must reach the store. */
  resign(reason: string): boolean;
  /** Data centres with endpoints that still obey a later fencing token, such as that of a VM in solo mode, and with no VM that was lost recently. */
  listReclaimableDataCentres(): Set<string>;
  /** Continues under a later epoch and reclaims the endpoints of the data centres that `listReclaimableDataCentres` returns. */
  beginEpoch(epoch: number): void;
  /** To be called when a heartbeat sent at `sentMs`, in monotonic ms, has been written: no other VM can have taken the role before that heartbeat is stale. */
  confirmRole(sentMs: number): void;
  /** Sets whether this scheduler runs the stored jobs. Once it has begun to, it stops with them: then another group's scheduler has taken them over. */
  setRunsStoredJobs(runsStoredJobs: boolean): void;
  /** Stops starting tasks of stored jobs, if the endpoints are evacuated and another group may run these jobs without a task running twice; returns whether it did. */
  tryPauseStoredJobs(): boolean;
  /** Starts tasks of stored jobs again. */
  resumeStoredJobs(): void;
  /** Reads the revision of the scheduler row under which this scheduler has the role. */
  readRoleRevision(): number;
  /** Describes this scheduler for the schedulers of other groups. */
  describeSummary(): GroupSummary;
  /** Sets the current summaries of the other groups, by group. */
  setGroupSummaries(summaries: Map<string, GroupSummary>): void;
  /** Gauges of the queues, the endpoints' free capacity and the links. */
  readGauges(): Record<string, number>;
  /** Stops at once: no more tasks are started. */
  stop(): void;
};

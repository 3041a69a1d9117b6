import type { Attachment } from "./attachment.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { LinkEvents } from "./link_events.ts";

/** The scheduler while this process is it. */
export type SchedulerHost = {
  epoch: number;
  /** Links a VM; `events` is what the scheduler says to it. */
  attach(vm: string, events: LinkEvents): Attachment;
  /** Names of the linked VMs that may take over, best first. */
  listSuccessors(): string[];
  /** Asks a linked VM to take over; false when there is none. */
  resign(reason: string): boolean;
  /** Data centres whose lost VMs are all back, and where endpoints still obey a VM that had served alone. */
  listReclaimableDataCentres(): Set<string>;
  /** Goes on under a later epoch, and takes those endpoints back. */
  beginEpoch(epoch: number): void;
  /** A beat that was begun then has been written: no other can have taken the role before it is stale. In ms. */
  confirmRole(beatMs: number): void;
  /** What other groups' schedulers are told of this one. */
  describeSummary(): GroupSummary;
  /** Takes what the other groups' schedulers have told. */
  takeSummaries(summaries: Map<string, GroupSummary>): void;
  /** Its queues, the endpoints' room and the links, for the metrics. */
  readGauges(): Record<string, number>;
  /** Gives up at once: starts nothing more. */
  stop(): void;
};

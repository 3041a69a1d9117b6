import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerLink } from "./scheduler_link.ts";

/** The jobs whose callers wait at this VM. */
export type OpenJobs = {
  /** Takes a caller's job; the result tells that the caller has left. */
  submit(order: JobOrder, answer: (outcome: JobOutcome) => void): () => void;
  /** Cancels a job of a caller here; false when there is none. */
  cancel(jobId: string): boolean;
  /** Answers all callers: this VM ends. */
  giveUp(): void;
  events: Pick<LinkEvents, "placed" | "done" | "ended" | "passed">;
  /** Hands the jobs of this VM's own group, or of the named one, to another scheduler, or keeps them while there is none. */
  setLink(link: SchedulerLink | undefined, group?: string): void;
  /** Whether there is a scheduler of this VM's own group. */
  hasLink(): boolean;
  /** The other groups that have jobs of callers here. */
  listGuestGroups(): Set<string>;
  isEmpty(): boolean;
  count(): number;
  close(): void;
};

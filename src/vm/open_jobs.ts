import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerLink } from "./scheduler_link.ts";

/** The jobs with callers that wait at this VM. */
export type OpenJobs = {
  /** Adds a caller's job, or a caller to a known job. The result is to be called when the caller has disconnected. */
  submit(order: JobOrder, answer: (outcome: JobOutcome) => void): () => void;
  /** Cancels an open job; false when there is none with that id. */
  cancel(jobId: string): boolean;
  /** Abandons all jobs and answers their callers, as this VM stops. */
  abandonAll(): void;
  /** Handlers for a scheduler's messages about jobs. */
  events: Pick<LinkEvents, "placed" | "done" | "ended" | "passed">;
  /** Sets the link to the scheduler of this VM's own group or, given a group, the guest link to its scheduler; resubmits the jobs over it. Undefined: there is no link now. */
  setLink(link: SchedulerLink | undefined, group?: string): void;
  /** Whether this VM is linked to a scheduler of its own group, or in solo mode. */
  hasLink(): boolean;
  /** The other groups that jobs of callers here were passed to. */
  listGuestGroups(): Set<string>;
  isEmpty(): boolean;
  count(): number;
  /** Stops all timers. */
  close(): void;
};

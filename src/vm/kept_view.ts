import type { SchedulerStatus } from "./scheduler_status.ts";

/** What a VM knows of the stored jobs from the scheduler's beats. */
export type KeptView = {
  take(status: Pick<SchedulerStatus, "pending" | "backlogsMs">): void;
  /** Stored jobs of a route of which no task has begun; undefined when that was not heard lately. */
  countPending(route: string): number | undefined;
  /** Since the scheduler was last heard, in ms; infinite when it never was. */
  readAgeMs(): number;
  /** How long all the room of a service would be busy with what waits, in ms; 0 when not known. */
  readBacklogMs(service: string): number;
};

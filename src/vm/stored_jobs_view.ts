import type { SchedulerStatus } from "./scheduler_status.ts";

/** A VM's figures on stored jobs, as received with the scheduler's heartbeats. */
export type StoredJobsView = {
  /** Updates the figures from a heartbeat. */
  update(status: Pick<SchedulerStatus, "pending" | "backlogsMs">): void;
  /** Number of stored jobs of a route of which no task has started; undefined without a recent figure. */
  countPendingJobs(route: string): number | undefined;
  /** Time since the last heartbeat of the scheduler, in ms; infinite before the first. */
  readAgeMs(): number;
  /** Time for which the waiting jobs would occupy all capacity of a service, in ms; 0 when not known. */
  readBacklogMs(service: string): number;
};

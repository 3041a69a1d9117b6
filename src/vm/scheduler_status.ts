import type { LinkedVm } from "./linked_vm.ts";

/** The scheduler's beat. */
export type SchedulerStatus = {
  epoch: number;
  configurationVersion: number;
  /** The group's linked VMs, in the order in which they would take over; absent when they are as last told. */
  successors?: LinkedVm[];
  /** Whether there are stored jobs, so that ends of unknown runs must not be forgotten. */
  hasKeptJobs: boolean;
  /** Stored jobs of which no task has begun, by route; absent until they have been read. */
  pending?: Record<string, number>;
  /** How long all the room of each service would be busy with what waits, in ms. */
  backlogsMs: Record<string, number>;
};

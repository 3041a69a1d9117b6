import type { LinkedVm } from "./linked_vm.ts";

/** The scheduler's beat. */
export type SchedulerStatus = {
  epoch: number;
  configurationVersion: number;
  /** The linked VMs, in the order in which they would take over. */
  successors: LinkedVm[];
  /** Whether there are stored jobs, so that ends of unknown runs must not be forgotten. */
  hasKeptJobs: boolean;
  /** Stored jobs of which no task has begun, by route. */
  pending: Record<string, number>;
};

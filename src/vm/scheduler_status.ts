import type { LinkedVm } from "./linked_vm.ts";

/** The scheduler's beat. */
export type SchedulerStatus = {
  epoch: number;
  configurationVersion: number;
  /** The linked VMs, in the order in which they would take over. */
  successors: LinkedVm[];
};

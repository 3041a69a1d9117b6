import type { Evacuations } from "../evacuation/evacuations.ts";
import type { LinkedVm } from "./linked_vm.ts";

/** The scheduler's heartbeat to a linked VM. */
export type SchedulerStatus = {
  epoch: number;
  /** Version of the configuration that the scheduler uses. */
  configurationVersion: number;
  /** The VMs of the group: linked ones in succession order, then lost ones, last the scheduler's own; absent when unchanged since the last status of the link. */
  successors?: LinkedVm[];
  /** Whether there may be stored jobs: then run ends of foreign runs must stay unacknowledged. */
  hasKeptJobs: boolean;
  /** Number of stored jobs of which no task has started, by route; absent until the stored jobs have been read. */
  pending?: Record<string, number>;
  /** Time for which the waiting jobs would occupy all capacity, by service, in ms. */
  backlogsMs: Record<string, number>;
  /** The evacuated data centres; absent while not known, and while the VM's last report had the same. */
  evacuations?: Evacuations;
};

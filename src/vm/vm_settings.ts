import type { SchedulerLimits } from "../scheduler/scheduler_limits.ts";

/** What a VM's process needs to know of itself. */
export type VmSettings = {
  name: string;
  dataCentre: string;
  /** Where this process takes links from other VMs, if it is the scheduler. */
  peerAddress: string;
  /** A planned stop must be over by then, in ms. */
  stopWithinMs: number;
  /** How long the end of a stored job is kept for its caller, in ms. */
  keepEndsMs: number;
  limits: SchedulerLimits;
};

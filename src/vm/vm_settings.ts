import type { SchedulerLimits } from "../scheduler/scheduler_limits.ts";

/** What a VM's process needs to know of itself. The times, sizes and limits change in place when its settings do. */
export type VmSettings = {
  name: string;
  dataCentre: string;
  /** Cores' worth of processor time. */
  strength: number;
  /** Where this process takes links from other VMs, if it is the scheduler. */
  peerAddress: string;
  /** A planned stop must be over by then, in ms. */
  stopWithinMs: number;
  /** How long the end of a stored job is kept for its caller, in ms. */
  keepEndsMs: number;
  /** The store takes no larger value, in bytes. */
  mostRowBytes: number;
  limits: SchedulerLimits;
};

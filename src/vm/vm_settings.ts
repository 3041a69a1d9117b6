import type { SchedulerLimits } from "../scheduler/scheduler_limits.ts";

/** Settings of a VM's process. The times, sizes and limits change in place when the settings file is reloaded. */
export type VmSettings = {
  name: string;
  dataCentre: string;
  /** Processor time that the VM may use, in cores. */
  strength: number;
  /** Address at which this process accepts links of other VMs, host:port. */
  peerAddress: string;
  /** Longest duration of a planned stop, in ms. */
  stopWithinMs: number;
  /** Retention period of the end record of a stored job, in ms. */
  keepEndsMs: number;
  /** Maximum size of a value in the store, in bytes. */
  mostRowBytes: number;
  limits: SchedulerLimits;
};

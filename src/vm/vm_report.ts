import type { Evacuations } from "../evacuation/evacuations.ts";

/** A linked VM's report on itself. */
export type VmReport = {
  name: string;
  /** Address at which the VM accepts links, host:port. */
  address: string;
  dataCentre: string;
  /** Processor time that the VM may use, in cores. */
  strength: number;
  /** Mean event-loop delay, in ms. */
  loopDelayMs: number;
  /** How long the VM's processor has been slow, in ms; 0 while it is not. */
  slowedMs: number;
  /** Whether this is a guest link: the VM belongs to another group, submits only jobs that its own scheduler passed, and never takes over here. */
  isGuest: boolean;
  isDraining: boolean;
  isStoreReachable: boolean;
  /** Version of the configuration that the VM uses. */
  configurationVersion: number;
  /** The evacuated data centres, as far as the VM knows; absent while not known, and where there has never been an evacuation. */
  evacuations?: Evacuations;
};

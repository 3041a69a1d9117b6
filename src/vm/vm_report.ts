/** What a linked VM says of itself. */
export type VmReport = {
  name: string;
  address: string;
  dataCentre: string;
  /** Cores' worth of processor time. */
  strength: number;
  /** How late its loop turns on average, in ms. */
  loopDelayMs: number;
  /** Of another group: it hands in jobs that its own scheduler passed on, and never takes over. */
  isGuest: boolean;
  isDraining: boolean;
  isStoreReachable: boolean;
  configurationVersion: number;
};

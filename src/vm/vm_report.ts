/** What a linked VM says of itself. */
export type VmReport = {
  name: string;
  address: string;
  dataCentre: string;
  isDraining: boolean;
  isStoreReachable: boolean;
  /** How late its timers run, in ms. */
  lagMs: number;
  configurationVersion: number;
};

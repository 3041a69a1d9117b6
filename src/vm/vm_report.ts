/** What a linked VM says of itself. */
export type VmReport = {
  name: string;
  address: string;
  dataCentre: string;
  isDraining: boolean;
  isStoreReachable: boolean;
  configurationVersion: number;
};

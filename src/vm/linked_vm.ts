/** A VM as the scheduler names it to others. */
export type LinkedVm = {
  name: string;
  dataCentre: string;
  /** Where it takes links. */
  address: string;
};

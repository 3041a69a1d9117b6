/** A VM in the list that the scheduler sends to its linked VMs. */
export type LinkedVm = {
  name: string;
  dataCentre: string;
  /** Address at which the VM accepts links, host:port. */
  address: string;
};

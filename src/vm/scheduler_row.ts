/** The scheduler row of a group, which names the role holder. */
export type SchedulerRow = {
  /** Name of the VM. */
  vm: string;
  /** Identifies one run of the VM's process. */
  incarnation: string;
  /** Address at which the scheduler accepts links, host:port. */
  address: string;
  /** Increases with each takeover and each raise by the same holder. The fencing token is derived from it, and endpoints obey the highest token they have seen. */
  epoch: number;
};

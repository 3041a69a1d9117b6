/** The row that says who places the tasks of a group. */
export type SchedulerRow = {
  vm: string;
  /** One life of the VM's process. */
  incarnation: string;
  /** Where the scheduler takes links. */
  address: string;
  /** Rises with each change of the holder; endpoints obey the highest they saw. */
  epoch: number;
};

/** The scheduler's beat. */
export type SchedulerStatus = {
  epoch: number;
  configurationVersion: number;
  /** The linked VMs, in the order in which they would take over. */
  successors: { name: string; dataCentre: string }[];
};

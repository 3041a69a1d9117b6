/** Free room of another group for one service. */
export type GroupRoom = {
  group: string;
  service: string;
  /** Processor room of the task that `places` is counted for, in thousandths of a core. */
  taskCpu: number;
  /** How many such tasks could start there now, less those that wait already. */
  places: number;
};

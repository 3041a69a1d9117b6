/** Free capacity of another group for one service. */
export type GroupCapacity = {
  group: string;
  service: string;
  /** CPU that `places` assumes for each task, in thousandths of a core. */
  taskCpu: number;
  /** Tasks of `taskCpu` that the group could start now, less the tasks that already wait there. */
  places: number;
};

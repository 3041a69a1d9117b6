/** One step of a job: tasks that are alike and may run at the same time. */
export type StepOrder = {
  /** How many tasks the step has. */
  count: number;
  /** Room that each task takes on a worker. */
  room: { cpu: number; memoryMb: number; gpus: number };
  /** The caller's rough estimate of a task's run time, in ms. */
  estimateMs: number;
  /** Indices of the steps that must be done before this one. */
  after: number[];
  /** The rack that holds the data; tasks run slower on any other. */
  rack?: string;
  /** A label that the worker must carry. */
  requiredLabel?: string;
  /** Most tasks of the step on one endpoint; unlimited when absent. */
  mostPerEndpoint?: number;
};

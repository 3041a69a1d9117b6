/** One step of a job: tasks with equal needs that may run in parallel. */
export type StepOrder = {
  /** Number of tasks in the step. */
  count: number;
  /** Resources that each task needs on a worker; `cpu` in thousandths of a core. */
  room: { cpu: number; memoryMb: number; gpus: number };
  /** The caller's estimate of a task's run time, in ms. */
  estimateMs: number;
  /** Indices of the steps that must be done before this one. */
  after: number[];
  /** Rack that holds the data; tasks run slower in any other rack. */
  rack?: string;
  /** Label that the worker must have. */
  requiredLabel?: string;
  /** Maximum number of the step's tasks on one endpoint at a time. Default: unlimited. */
  mostPerEndpoint?: number;
};

/** A kind of job of the load model. */
export type ModelKind = {
  name: string;
  /** Mean arrival rate over all data centres, without bursts. */
  perSecond: number;
  /** Mean run time of a task at an endpoint of speed 1. */
  workMs: number;
  /** Mean number of tasks of a job. */
  taskCount: number;
  /** CPU that each task of a job needs, in millicores: log-normal over the jobs, capped at `max`. */
  cpu: { mean: number; sigma: number; max: number };
  priority: number;
  /** Credit of a job of mean size that completes within its objective. */
  credit: number;
  /** Log-normal sigma by which callers' estimates are off. Default: 0.4. */
  estimateSigma?: number;
  /** Share of the tasks that take `factor` times their time, which no estimate foresees. Default: none. */
  tail?: { share: number; factor: number };
  /** Share of the jobs whose data lies in a rack, any of them with equal probability. Default: 0. */
  rackShare?: number;
};

/** A load of the load model: endpoints, kinds of jobs, bursts and an outage. Times are in ms from the start. */
export type ModelLoad = {
  /** Time during which jobs arrive. */
  durationMs: number;
  endpoints: {
    /** Capacity, in millicores. */
    cpu: number;
    /** Work done per time, relative to an average endpoint. */
    speed: number;
  }[];
  kinds: {
    name: string;
    perSecond: number;
    /** Mean run time of a task at an endpoint of speed 1. */
    workMs: number;
    /** Mean number of tasks of a job. */
    taskCount: number;
    priority: number;
    /** Credit of a job of mean size that completes within its objective. */
    credit: number;
  }[];
  /**
   * From `fromMs` to `toMs` no VM accepts requests; callers send again after
   * `resendMs`, but not before `toMs`. Requests that arrive before `linkedMs`,
   * when the VMs are linked to a scheduler again, wait until then.
   */
  outage?: { fromMs: number; toMs: number; resendMs: number; linkedMs: number };
  /** Periods in which the arrival rate is multiplied by `factor`, of one kind of job or of all. */
  bursts: { fromMs: number; toMs: number; factor: number; kind?: string }[];
};

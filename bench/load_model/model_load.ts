/** A load of the load model: endpoints, callers, kinds of jobs and events. Times are in ms from the start. */
export type ModelLoad = {
  name: string;
  /** Time during which jobs arrive. */
  durationMs: number;
  endpoints: {
    /** Capacity, in millicores. */
    cpu: number;
    /** Work done per time, relative to an average endpoint. */
    speed: number;
    dataCentre: string;
    /** Labels for the kind of endpoint and its rack, as in the list of endpoints. */
    labels: string[];
    /** When the endpoint joins. Default: 0. */
    fromMs?: number;
    /** When the endpoint ends, after it has drained for 2 s. Default: never. */
    toMs?: number;
  }[];
  /** Whether one scheduler has all endpoints, or each data centre has a scheduler of its own, which passes jobs to the others. */
  groups: "one" | "byDataCentre";
  kinds: {
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
    /** Share of the jobs, or of the tasks, that take `factor` times their time; callers' estimates foresee long jobs. Default: none. */
    tail?: { share: number; factor: number; of: "jobs" | "tasks" };
    /** Share of the jobs whose data lies in a rack, any of them with equal probability. Default: 0. */
    rackShare?: number;
  }[];
  /** Callers by data centre. A wave changes their arrival rate by up to `swing` of its mean, 0 to 1; `phase` is a fraction of the period. */
  callers: {
    dataCentre: string;
    /** Share of the arrivals of each kind; the shares add up to 1. */
    share: number;
    wave?: { swing: number; periodMs: number; phase: number };
  }[];
  /** Periods in which the arrival rate is multiplied by `factor`: of one kind of job or of all, in one data centre or in all. */
  bursts: {
    fromMs: number;
    toMs: number;
    factor: number;
    kind?: string;
    dataCentre?: string;
  }[];
  /** Periods in which a share of the jobs of a kind wants the same rack. */
  hotRacks: {
    fromMs: number;
    toMs: number;
    kind: string;
    rack: string;
    share: number;
  }[];
  /**
   * From `fromMs` to `toMs` no VM accepts requests; callers send again after
   * `resendMs`, but not before `toMs`. Requests that arrive before `linkedMs`,
   * when the VMs are linked to a scheduler again, wait until then.
   */
  outage?: { fromMs: number; toMs: number; resendMs: number; linkedMs: number };
};

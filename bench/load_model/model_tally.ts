/** Figures of a set of jobs; NaN where the set is empty. */
export type ModelTally = {
  jobs: number;
  /** Earned share of the possible credit. */
  creditShare: number;
  /** The same with each job counting alike. */
  servedShare: number;
  /** Share of the jobs that met their objective. */
  inTimeShare: number;
  /** Time from the arrival to the first start of a task, in ms: the median and the 95th percentile. */
  startP50Ms: number;
  startP95Ms: number;
};

/** What was learned of the run times of a client's tasks for a service. */
export type RunTimeEstimate = {
  /** Mean run time at an average endpoint, in ms. */
  meanMs: number;
  /** Mean of run time over declared run time. */
  declaredRatio: number;
  /** Mean error of the mean as a predictor, as a ratio's logarithm. */
  meanError: number;
  /** Mean error of the corrected declaration, as a ratio's logarithm. */
  declaredError: number;
  samples: number;
};

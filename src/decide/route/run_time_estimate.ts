/** Moving averages of the run times of a client's tasks at a service. */
export type RunTimeEstimate = {
  /** Mean run time at an endpoint of average speed, in ms. */
  meanMs: number;
  /** Mean ratio of actual and declared run time. */
  declaredRatio: number;
  /**
   * Mean error of `meanMs` as a prediction: absolute logarithm of the ratio of
   * actual and predicted run time.
   */
  meanError: number;
  /** Mean error of the declared run time times `declaredRatio`, measured like `meanError`. */
  declaredError: number;
  /** Number of run times in the averages. */
  samples: number;
};

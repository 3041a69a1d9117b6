/** Bounds that the scheduler keeps; read from the settings. */
export type SchedulerLimits = {
  /** Longest lease on an endpoint, in ms. */
  leaseMs: number;
  /** Longest time until a confirmed stop has taken effect, in ms. */
  stopMs: number;
  /** How much slower tasks run away from their data's rack. */
  remoteFactor: number;
  /** When a caller resends a request that broke off, in ms. */
  resendMs: number;
};

/** What a client has used of the endpoints, for fairness and its quota. */
export type ClientShare = {
  /** Expected run time served, divided by the weight, in ms. */
  virtualMs: number;
  weight: number;
  /** Tasks waiting. */
  queued: number;
  /** Tasks waiting or running. */
  open: number;
};

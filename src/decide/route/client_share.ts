/** Usage of the endpoints by a client, for fair queuing and the quota of the client. */
export type ClientShare = {
  /** Expected run time of the tasks started so far, divided by the weight, in ms. */
  virtualTimeMs: number;
  /** Share of the capacity relative to other clients, as configured. */
  weight: number;
  /** Number of waiting tasks. */
  queued: number;
  /** Number of tasks of jobs that have not ended. */
  open: number;
};

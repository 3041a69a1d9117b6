/** Limits that the scheduler observes; read from the settings. */
export type SchedulerLimits = {
  /** Length of a lease on an endpoint, in ms. */
  leaseMs: number;
  /** Longest time until a confirmed stop has taken effect, in ms. */
  stopMs: number;
  /** Factor by which tasks run slower outside the rack of their data. */
  remoteFactor: number;
  /** Time after which a caller resends a request whose connection was lost, in ms. */
  resendMs: number;
  /** Most run ends that an endpoint lists at a time; it lists later ones once these are acknowledged. */
  maxListedEnds: number;
  /** Most memory of the orders of stored jobs, and of best-effort jobs, in bytes. */
  maxOrderBytes: number;
  /** Time after which nothing may start any more in a data centre whose evacuation was requested, in ms. Absent: the deployment doesn't evacuate data centres. */
  evacuateMs?: number;
};

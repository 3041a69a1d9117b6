import type { EndpointPhase } from "./endpoint_phase.ts";

/** State of an endpoint in the memory of the entry that owns it. */
export type EndpointState = {
  id: string;
  services: string[];
  /** Maximum number of concurrent tasks, as configured. */
  slots: number;
  /**
   * Current maximum number of concurrent tasks: `slots`, or fewer after
   * refusals or a hand-over.
   */
  limit: number;
  /** Number of tasks that were sent and have not ended. */
  inFlight: number;
  /**
   * Whether another process owns the endpoint now; only tasks of jobs that are
   * still in this process are sent to it.
   */
  isHandedOver: boolean;
  phase: EndpointPhase;
  /** Whether the endpoint gets no new tasks, because it is leaving or because neither a held shard nor an open job of this entry needs it. */
  closed: boolean;
  failuresInRow: number;
  refusalsInRow: number;
  /** Monotonic time until which the endpoint gets no tasks after a refusal, in ms. */
  pausedUntilMs: number;
  /** Number of ejections since the endpoint was last healthy; each doubles the ejection time. */
  consecutiveEjections: number;
  /** Monotonic time at which the ejection ends and the endpoint is probed, in ms. */
  ejectedUntilMs: number;
  /** Run time relative to an endpoint of average speed: 1 is average, 2 is half as fast. */
  slowness: number;
  /** Number of run times from which the slowness was computed. */
  samples: number;
  /** Expected run time of the tasks that wait in the queue of this endpoint, in ms. */
  boundWorkMs: number;
};

import type { EndpointPhase } from "./endpoint_phase.ts";

/** An endpoint as its leading entry sees it. */
export type EndpointState = {
  id: string;
  services: string[];
  /** Tasks the endpoint runs at once, as configured. */
  slots: number;
  /** Tasks sent at once at present: slots, or less after refusals. */
  limit: number;
  inFlight: number;
  /** Led by another process by now; only tasks of jobs that are still here go there. */
  isHandedOver: boolean;
  phase: EndpointPhase;
  /** Takes no new task: leaving, or led by another entry by now. */
  closed: boolean;
  failuresInRow: number;
  refusalsInRow: number;
  /** Monotonic time until which a full endpoint is left alone, in ms. */
  pausedUntilMs: number;
  /** Ejections in a row, which double the rest. */
  ejections: number;
  /** Monotonic time at which an ejected endpoint is probed, in ms. */
  ejectedUntilMs: number;
  /** Run time relative to an average endpoint; 1 is average, 2 is half as fast. */
  slowness: number;
  /** Run times seen, which weigh the slowness. */
  samples: number;
  /** Expected run time of the tasks bound here and not started, in ms. */
  boundMs: number;
};

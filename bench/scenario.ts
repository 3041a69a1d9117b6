/** A benchmark scenario: a load, the system that serves it, and the faults injected meanwhile. */
export type Scenario = {
  name: string;
  /** One line for `--list`. */
  description: string;
  /** Arriving work of the client `guild`, relative to the capacity of all endpoints. */
  load: number;
  /** Time during which jobs arrive, in ms. */
  durationMs: number;
  /** Mix of task counts and run times of the jobs. */
  jobs: JobMix;
  entries: number;
  shards: number;
  endpoints: EndpointGroup[];
  /** Arriving work of a second client, `flood`, relative to the capacity of all endpoints; no second client when absent. */
  floodLoad?: number;
  /** Whether callers also retry jobs refused as `overloaded`, after the `retryAfterMs` of the reply. */
  retriesOverloaded?: boolean;
  /** Share of the jobs that their callers cancel shortly after sending, from 0 to 1. */
  cancelShare?: number;
  /** Declared run times are too long or too short by up to this factor; no run times are declared when absent. */
  maxDeclaredErrorFactor?: number;
  /** Share of the jobs that name a service without endpoints, from 0 to 1. */
  neverRunnableShare?: number;
  /** Deadline of every job, in ms after its first sending. */
  deadlineMs?: number;
  /** Patch of the policy in the configuration. */
  policy?: object;
  faults?: Fault[];
};

type JobMix = "single200" | "mixed" | "tiny";

type EndpointGroup = {
  count: number;
  slots: number;
  /** Factor on the run time of tasks. */
  slowness: number;
};

/** A fault or burst in the course of a run. */
type Fault = {
  /** Time after the first arrival, in ms. */
  atMs: number;
  type:
    | "failEndpoint"
    | "refuseEndpoints"
    | "slowEndpoints"
    | "leaveEndpoints"
    | "killEntry"
    | "slowPlatform"
    | "platformDown"
    | "platformUp"
    | "burst";
};

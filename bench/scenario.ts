/** One experiment: a load, the endpoints it meets, and what goes wrong. */
export type Scenario = {
  name: string;
  /** What the scenario shows, in one line. */
  about: string;
  /** Share of the endpoints' capacity that arrives. */
  load: number;
  /** How long jobs arrive, in ms. */
  durationMs: number;
  /** Kinds of jobs and how often each comes. */
  jobs: JobMix;
  entries: number;
  shards: number;
  endpoints: EndpointGroup[];
  /** Other clients beside the first, with their share of the load. */
  flooding?: number;
  /** Retry refused jobs when told to. */
  retries?: boolean;
  /** Part of the jobs that are cancelled half way. */
  cancelShare?: number;
  /** How far declared run times are off, as a factor either way; none when absent. */
  declaredFactor?: number;
  /** Part of the jobs that name a service nobody serves. */
  neverRunnableShare?: number;
  deadlineMs?: number;
  policy?: object;
  faults?: Fault[];
};

type JobMix = "single200" | "mixed" | "tiny";

type EndpointGroup = {
  count: number;
  slots: number;
  slowness: number;
};

/** Something that happens in the middle of a run. */
type Fault = {
  /** Time after the first arrival, in ms. */
  atMs: number;
  act:
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

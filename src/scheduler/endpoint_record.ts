import type { EndpointRow } from "./endpoint_row.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** What the scheduler knows of an endpoint. */
export type EndpointRecord = {
  row: EndpointRow;
  /** Sent with each order to it. */
  token: number;
  /** `unlisted` until it has told what it runs; `silent` while it does not answer; `taken` while it obeys a later scheduler. */
  phase: "unlisted" | "usable" | "silent" | "taken";
  /** Unix ms at which the endpoint's process began; another value is another process. */
  processStartMs: number;
  /** Room taken by runs, confirmed or not. */
  used: { cpu: number; memoryMb: number; gpus: number };
  /** Runs of known jobs, by task name. */
  runs: Map<string, ScheduledTask>;
  /** Runs nobody asked for yet: of an earlier scheduler's jobs. */
  foreignRuns: Map<string, StrangerRun>;
  /** Number of the last end that was taken note of. */
  lastEnd: number;
  /** Ends up to `lastEnd` that the endpoint must go on listing, with the time until which, in ms. */
  unacknowledgedEnds: Map<number, number>;
  /** When the last listing that came was asked for, in ms. */
  listedMs: number;
  /** The endpoint's clock at `heardMs`, in ms. */
  clockMs: number;
  /** When the endpoint was last heard, by the scheduler's clock, in ms. */
  heardMs: number;
  /** Latest end of a lease granted, by the endpoint's clock, in ms. */
  leaseEndMs: number;
  /** While this is set the lease is not extended, so that it has ended when the endpoint's clock shows it, in ms; otherwise 0. */
  lapseByClockMs: number;
  /** Run time relative to an average endpoint. */
  slowness: number;
  /** Ends that `slowness` was learnt from. */
  samples: number;
  /** Failed ends and unanswered starts since the last success. */
  strikes: number;
  /** No new start before this, in ms. */
  restUntilMs: number;
};

type StrangerRun = { run: number; seenMs: number; isStopping: boolean };

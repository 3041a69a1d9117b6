import type { EndpointRow } from "./endpoint_row.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** The scheduler's state of an endpoint. */
export type EndpointRecord = {
  row: EndpointRow;
  /** Fencing token, sent with each order to the endpoint. */
  token: number;
  /** `unlisted`: has not listed its runs yet; `silent`: does not answer; `taken`: obeys a later scheduler. */
  phase: "unlisted" | "usable" | "silent" | "taken";
  /** Whether the endpoint was draining when the store's list had it last, so that the end of its process is planned. */
  hasAnnouncedEnd: boolean;
  /** Start of the endpoint's process, in Unix ms; a different value shows that the process was restarted. 0 before the first listing. */
  processStartMs: number;
  /** Resources reserved by runs, whether or not their start is confirmed. */
  used: { cpu: number; memoryMb: number; gpus: number };
  /** Tasks whose latest run is at this endpoint, by task name. */
  runs: Map<string, ScheduledTask>;
  /** The suspect that is the only task to run here, or for which the endpoint is kept until its runs have ended. */
  isolatedTask?: ScheduledTask;
  /** Runs that the endpoint lists and that this scheduler neither started nor adopted, by task name. */
  foreignRuns: Map<string, ForeignRun>;
  /** Number of run ends in the latest listing; 0 once the lease has expired, as those ends do not count any more. */
  listedEndCount: number;
  /** Number of the last run end that was applied. */
  lastEndNumber: number;
  /** Numbers of applied run ends that the endpoint must go on listing, each with the time until which it must, in ms. */
  unacknowledgedEnds: Map<number, number>;
  /** When the latest received listing was requested, by the scheduler's clock, in ms. */
  listingRequestedMs: number;
  /** The endpoint's clock at `lastReplyMs`, in ms. */
  clockMs: number;
  /** When the endpoint's last reply arrived, by the scheduler's clock, in ms. */
  lastReplyMs: number;
  /** Latest end of a lease that any scheduler may have granted, by the endpoint's clock, in ms. */
  leaseEndMs: number;
  /** Time of the endpoint's clock until which the lease is not extended, so that it has expired by then, in ms; 0 while the lease may be extended. */
  leaseExpiryClockMs: number;
  /** Run time of tasks here relative to an average endpoint, which has 1. */
  slowness: number;
  /** Number of run times that `slowness` is based on. */
  slownessSamples: number;
  /** Failed runs and starts rejected as unhealthy since the last successful run. */
  consecutiveFailures: number;
  /** Starts in a row that the endpoint rejected for want of capacity. */
  roomRejections: number;
  /** End of the backoff, in ms; nothing is started here before it. */
  backoffUntilMs: number;
};

type ForeignRun = { run: number; firstListedMs: number; isStopping: boolean };

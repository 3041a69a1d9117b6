import type { Policy } from "../../config/policy.ts";
import type { TaskQueue } from "../order/task_queue.ts";
import type { RetryBudget } from "../retry/retry_budget.ts";
import type { ClientShare } from "./client_share.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** State with which an entry assigns tasks to the endpoints it owns. */
export type EntrySchedulerState = {
  policy: Policy;
  endpoints: Map<string, EndpointState>;
  /** Endpoints by service, including closed ones. */
  endpointsByService: Map<string, EndpointState[]>;
  /** Waiting tasks by service, or by endpoint id if the routing strategy binds early. */
  queues: Map<string, TaskQueue>;
  /** Usage by client. */
  clients: Map<string, ClientShare>;
  /** Run time estimates by client and service, joined by a slash. */
  estimates: Map<string, RunTimeEstimate>;
  /** Expected run time of all waiting tasks by service, in ms. */
  waitingWorkMs: Map<string, number>;
  retryBudget: RetryBudget;
  /** Highest virtual time of a client when one of its tasks started, in ms. */
  virtualTimeMs: number;
  /** Number of tasks bound early so far, for the round-robin strategy. */
  roundRobinIndex: number;
  /** Returns a random number from 0 (included) to 1 (excluded). */
  random: () => number;
};

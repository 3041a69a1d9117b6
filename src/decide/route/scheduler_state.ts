import type { Policy } from "../../config/policy.ts";
import type { TaskQueue } from "../order/task_queue.ts";
import type { RetryBudget } from "../retry/retry_budget.ts";
import type { ClientShare } from "./client_share.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { RunTimeEstimate } from "./run_time_estimate.ts";

/** What an entry knows for giving tasks to the endpoints it leads. */
export type SchedulerState = {
  policy: Policy;
  endpoints: Map<string, EndpointState>;
  /** Endpoints by service, closed ones included. */
  byService: Map<string, EndpointState[]>;
  /** Waiting tasks by service, or by endpoint where the way binds early. */
  queues: Map<string, TaskQueue>;
  clients: Map<string, ClientShare>;
  /** Learned run times by client and service. */
  estimates: Map<string, RunTimeEstimate>;
  /** Expected run time of all waiting tasks by service, in ms. */
  waitingMs: Map<string, number>;
  retries: RetryBudget;
  /** Virtual time of the client served last, in ms. */
  virtualMs: number;
  turn: number;
  random: () => number;
};

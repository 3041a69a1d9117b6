import type { TaskPhase } from "./task_phase.ts";
import type { TaskRequest } from "./task_request.ts";

/** One task of a job in the owner's memory. */
export type TaskState = {
  request: TaskRequest;
  phase: TaskPhase;
  /** Attempts handed to an endpoint so far. */
  attempts: number;
  /** Attempts that ran and failed. */
  failures: number;
  /** The endpoint of the latest attempt. */
  endpointId?: string;
  /** Endpoints that failed or refused the task. */
  triedEndpoints: string[];
  /** The endpoint at which the task last ran and failed. */
  failedEndpoint?: string;
  /** Expected run time at an average endpoint, in ms. */
  expectedMs: number;
  startedAtMs: number;
  /** Whether some attempt may have begun at an endpoint. */
  mayHaveRun: boolean;
  /** Why the latest attempt went where it went. */
  reason: string;
  result?: string;
};

import type { TaskPhase } from "./task_phase.ts";
import type { TaskRequest } from "./task_request.ts";

/** A task of a job in the memory of the process that owns the job. */
export type TaskState = {
  request: TaskRequest;
  phase: TaskPhase;
  /** Number of attempts that were sent to an endpoint. */
  attempts: number;
  /** Number of attempts that ran and failed. */
  failures: number;
  /** Endpoint of the latest attempt. */
  endpointId?: string;
  /** Endpoints at which an attempt failed, was refused or was never sent. */
  triedEndpoints: string[];
  /** Endpoint of the latest attempt that failed, could not be sent or has an unknown outcome. */
  lastFailedEndpointId?: string;
  /** Expected run time at an endpoint of average speed, in ms. */
  expectedMs: number;
  /** Monotonic start time of the latest attempt, in ms. */
  startedAtMs: number;
  /** Whether any attempt may have started at an endpoint. */
  mayHaveRun: boolean;
  /** Text for operators: why the latest attempt got its endpoint, or what the task waits for. */
  reason: string;
  result?: string;
};

import type { JobOrder } from "../scheduler/job_order.ts";
import type { StoreOutcome } from "../stored_jobs/store_outcome.ts";
import type { StoredJobState } from "../stored_jobs/stored_job_state.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";

/** A VM's process as its callers' side uses it. */
export type RunningVm = {
  /** Takes a job; the result tells that its caller has left. */
  submit(order: JobOrder, answer: (outcome: JobOutcome) => void): () => void;
  /** Cancels an open job; false when there is none of that id here. */
  cancel(jobId: string): boolean;
  /** Stores a job that is run whoever waits for it. */
  storeJob(order: JobOrder): Promise<StoreOutcome>;
  /** Reads the state of a stored job; undefined when there is none of that id. Rejects while the store does not answer. */
  readJobState(jobId: string): Promise<StoredJobState | undefined>;
  /** Asks for a stored job to be cancelled; false when there is none of that id. Rejects while the store does not answer. */
  cancelStoredJob(jobId: string): Promise<boolean>;
  /** Stored jobs of a route of which no task has begun; undefined when the scheduler was not heard lately. */
  countPendingJobs(route: string): number | undefined;
  /** When it is worth coming back with a stored job for a service, in ms. */
  readBacklogMs(service: string): number;
  /** Whether new connections should come here. */
  isReady(): boolean;
  isDraining(): boolean;
  isIdle(): boolean;
  /** Jobs whose callers wait here. */
  countOpenJobs(): number;
  /** Of the scheduler's part while this VM has it, and the ages of what this VM was told. */
  readGauges(): Record<string, number>;
  /** Hands over what this VM holds and resolves when its callers have been answered. */
  drain(): Promise<void>;
  stop(): Promise<void>;
};

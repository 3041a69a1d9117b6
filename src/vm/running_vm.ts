import type { JobOrder } from "../scheduler/job_order.ts";
import type { StoreOutcome } from "../stored_jobs/store_outcome.ts";
import type { StoredJobState } from "../stored_jobs/stored_job_state.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";

/** A running VM process, as used by the code that serves callers. */
export type RunningVm = {
  /** Submits a best-effort job. The result is to be called when the caller has disconnected. */
  submit(order: JobOrder, answer: (outcome: JobOutcome) => void): () => void;
  /** Cancels an open job of this VM; false when there is none with that id. */
  cancel(jobId: string): boolean;
  /** Stores a job, which then runs to its end whether or not a caller waits. */
  storeJob(order: JobOrder): Promise<StoreOutcome>;
  /** Reads the state of a stored job; undefined when there is none with that id. Rejects while the store does not answer. */
  readJobState(jobId: string): Promise<StoredJobState | undefined>;
  /** Requests the cancellation of a stored job; false when there is none with that id. Rejects while the store does not answer. */
  cancelStoredJob(jobId: string): Promise<boolean>;
  /** Number of stored jobs of a route of which no task has started; undefined without a recent figure from the scheduler. */
  countPendingJobs(route: string): number | undefined;
  /** Time for which the waiting jobs would occupy all capacity of a service, in ms: after it a refused stored job may be worth sending again. */
  readBacklogMs(service: string): number;
  /** Whether this VM should receive new connections. */
  isReady(): boolean;
  /** Whether a planned stop is in progress. */
  isDraining(): boolean;
  /** Whether the process is about to end, so that nothing new may be begun. */
  isStopping(): boolean;
  /** Whether no caller waits and no job is being stored. */
  isIdle(): boolean;
  /** Number of jobs whose callers wait here. */
  countOpenJobs(): number;
  /** Gauges of this VM, and of the scheduler while it runs here. */
  readGauges(): Record<string, number>;
  /** Stops as planned: resigns the scheduler role, if this VM has it, and resolves when no caller waits any more: all of them are answered, after `stopWithinMs` without their outcome. From then on `isStopping`. */
  drain(): Promise<void>;
  /** Stops at once. */
  stop(): Promise<void>;
};

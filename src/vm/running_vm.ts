import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";

/** A VM's process as its callers' side uses it. */
export type RunningVm = {
  /** Takes a job; the result tells that its caller has left. */
  submit(order: JobOrder, answer: (outcome: JobOutcome) => void): () => void;
  /** Cancels an open job; false when there is none of that id here. */
  cancel(jobId: string): boolean;
  /** Whether new connections should come here. */
  isReady(): boolean;
  isDraining(): boolean;
  isIdle(): boolean;
  /** Jobs whose callers wait here. */
  countOpen(): number;
  /** Hands over what this VM holds and resolves when its callers have been answered. */
  drain(): Promise<void>;
  stop(): Promise<void>;
};

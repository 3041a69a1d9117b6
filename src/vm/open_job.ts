import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";

/** A job with callers that wait for the answer at this VM. */
export type OpenJob = {
  order: JobOrder;
  /** Memory of the order, in bytes. */
  orderBytes: number;
  /** When the first request arrived, by this process's monotonic clock, in ms. */
  receivedMs: number;
  /** Called with the outcome, one per waiting caller. */
  answerCallbacks: ((outcome: JobOutcome) => void)[];
  /** Group that the job was passed to; absent while it belongs to this VM's own group. */
  group?: string;
  /** Epoch of the scheduler that the job was last submitted to; 0 before the first, and after the job was passed before any task could have started. */
  submittedEpoch: number;
  /** Whether the job was submitted to this VM's scheduler in solo mode. */
  wasSolo: boolean;
  /** Whether another scheduler than the one that now has the job may have started tasks of it. */
  mayHaveStartedElsewhere: boolean;
  /** Highest epoch of the group's schedulers that have received the job, without solo mode; 0 before the first. */
  latestEpoch: number;
  /** Id of the endpoint that each task was last sent to, by task name. */
  placed: Map<string, string>;
  /** Names of the tasks that are done. */
  done: Set<string>;
  /** Fires when the wait time of the callers is over. */
  timer?: ReturnType<typeof setTimeout>;
};

import type { JobAnswer } from "../job/job_answer.ts";
import type { TaskRequest } from "../job/task_request.ts";

/** What the process is to carry out after a decision. */
export type EntryCommand =
  | {
    type: "startTask";
    attemptId: number;
    endpointId: string;
    /** The task's idempotency key: the job's key and the task's index. */
    taskKey: string;
    attempt: number;
    request: TaskRequest;
    /** Monotonic time after which the outcome is given up, in ms. */
    deadlineAtMs: number;
  }
  | {
    type: "cancelTask";
    attemptId: number;
    endpointId: string;
    taskKey: string;
  }
  | { type: "answerCaller"; callerId: string; answer: JobAnswer }
  /** Ask the live process that still runs a job of an earlier epoch. */
  | {
    type: "askOwner";
    callerId: string;
    owner: string;
    incarnation: string;
    key: string;
  }
  /** Read a kept answer from the object store. */
  | { type: "readAnswer"; callerId: string; object: string; key: string };

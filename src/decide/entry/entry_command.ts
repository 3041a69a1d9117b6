import type { JobAnswer } from "../job/job_answer.ts";
import type { TaskRequest } from "../job/task_request.ts";

/** Command that the process has to carry out after a change of the entry state. */
export type EntryCommand =
  | {
    type: "startTask";
    attemptId: number;
    endpointId: string;
    /** Idempotency key of the task: the job key and the index of the task, joined by a slash. */
    taskKey: string;
    /** Number of this attempt, from 1. */
    attempt: number;
    request: TaskRequest;
    /** Monotonic time after which the process no longer waits for the outcome, in ms. */
    deadlineAtMs: number;
  }
  | {
    type: "cancelTask";
    attemptId: number;
    endpointId: string;
    taskKey: string;
  }
  | { type: "answerCaller"; callerId: string; answer: JobAnswer }
  /** Ask the live process that still runs a job of an earlier epoch for the answer. */
  | {
    type: "askOwner";
    callerId: string;
    owner: string;
    incarnation: string;
    key: string;
  }
  /** Read a stored answer from the object store. */
  | { type: "readAnswer"; callerId: string; object: string; key: string };

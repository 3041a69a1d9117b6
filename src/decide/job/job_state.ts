import type { ShardState } from "../own/shard_state.ts";
import type { JobAnswer } from "./job_answer.ts";
import type { JobPhase } from "./job_phase.ts";
import type { TaskState } from "./task_state.ts";

/** A job in the memory of the process that owns it. */
export type JobState = {
  /** See `createJobKey`. */
  key: string;
  client: string;
  submissionId: string;
  shard: ShardState;
  /** Digest of the submitted tasks. */
  digest: string;
  phase: JobPhase;
  /**
   * Durability of the claim: not yet confirmed ("pending"), only in memory while
   * the job already runs ("memory"), or confirmed in the platform table ("written").
   */
  claim: "pending" | "memory" | "written";
  tasks: TaskState[];
  /** Memory of its requests, until it ends, and of its results, in bytes. */
  bytes: number;
  /** Number of tasks that are not done. */
  unfinishedTasks: number;
  /** Monotonic time of admission, in ms. */
  admittedAtMs: number;
  /** Monotonic time at which the job fails, in ms. */
  deadlineAtMs: number;
  /** Position among the jobs of the client; the lowest rank goes first. */
  rank: number;
  /** Ids of the callers that wait for the answer. */
  callers: string[];
  answer?: JobAnswer;
  /** Name of the object that stores the answer, once it is written. */
  answerObject?: string;
  /** Whether that object has been written. */
  isAnswerStored?: boolean;
  /** Monotonic time of the final answer, in ms. */
  endedAtMs?: number;
};

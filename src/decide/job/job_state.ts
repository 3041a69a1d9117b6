import type { ShardState } from "../own/shard_state.ts";
import type { JobAnswer } from "./job_answer.ts";
import type { JobPhase } from "./job_phase.ts";
import type { TaskState } from "./task_state.ts";

/** One job in its owner's memory. */
export type JobState = {
  /** The client and the submission id, joined. */
  key: string;
  client: string;
  submissionId: string;
  shard: ShardState;
  digest: string;
  phase: JobPhase;
  /** How safely the claim is kept: in the table, or so far only here. */
  claim: "pending" | "memory" | "written";
  tasks: TaskState[];
  /** Tasks not done yet. */
  remaining: number;
  /** Monotonic time of admission, in ms. */
  admittedAtMs: number;
  /** Monotonic time at which the job fails, in ms. */
  deadlineAtMs: number;
  /** Orders the job's tasks among those of its client; lower goes first. */
  rank: number;
  /** Callers waiting for the answer. */
  callers: string[];
  answer?: JobAnswer;
  /** The object that keeps the answer, once it is stored. */
  answerObject?: string;
  /** Monotonic time of the final answer, in ms. */
  endedAtMs?: number;
};

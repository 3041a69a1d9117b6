import type { KnownSubmission } from "../claim/known_submission.ts";
import type { LogRecord } from "../claim/log_record.ts";
import type { SuspectWindow } from "../claim/suspect_window.ts";
import type { SlotsInUse } from "./slots_in_use.ts";
import type { ShardPhase } from "./shard_phase.ts";

/**
 * A shard in the memory of the process that holds it, or that has released it
 * and still runs jobs of it.
 */
export type ShardState = {
  index: number;
  phase: ShardPhase;
  /** Rises with every change of the holder; part of the keys of the shard log. */
  epoch: number;
  /** Revision of the shard's row; appends to the shard log are conditional on it. */
  revision: number;
  /** Submissions from the shard log and evicted jobs, by job key. */
  known: Map<string, KnownSubmission>;
  /** Suspect windows that lost holders of the shard left. */
  windows: SuspectWindow[];
  /** Slots of endpoints that the earlier holder still used when this process acquired the shard. */
  inUse: SlotsInUse[];
  /** Claims and withdrawals of claims to be appended, in order; callers wait for them. */
  claims: LogRecord[];
  /** Outcomes of ended jobs to be appended; no caller waits for them. */
  outcomes: LogRecord[];
  /** Monotonic time of the oldest outcome to be appended, in ms; Infinity when there is none. */
  oldestOutcomeAtMs: number;
  /** Append that was sent and is not confirmed yet. */
  inFlight?: { sequence: number; records: LogRecord[] };
  /** Sequence number of the next row of the shard log. */
  nextSequence: number;
  /** Rows of the shard log, oldest first; rows older than the retention period are removed. */
  rows: { key: string; writtenAtMs: number }[];
  /** Number of jobs that were started and whose claims are not durable yet. */
  unwritten: number;
  /** Number of jobs that have not ended. */
  openJobs: number;
};

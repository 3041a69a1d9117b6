import type { ConfigurationVersion } from "../../config/configuration_version.ts";
import type { BinaryHeap } from "../../utils/binary_heap.ts";
import type { JobState } from "../job/job_state.ts";
import type { LeaseState } from "../own/lease_state.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { EntrySchedulerState } from "../route/entry_scheduler_state.ts";
import type { Attempt } from "./attempt.ts";
import type { EntryCommand } from "./entry_command.ts";

/**
 * State on which all decisions of an entry are based. It is changed by the
 * functions in src/decide/entry.
 */
export type EntryState = {
  dataCentre: string;
  version: ConfigurationVersion;
  lease: LeaseState;
  /** Whether new jobs are refused because the process is stopping. */
  draining: boolean;
  /** Shards that the process holds, by index. */
  shards: Map<number, ShardState>;
  /** Shards that were handed over and still have open jobs or unwritten records here. */
  releasedShards: ShardState[];
  /** Jobs in memory by key, including ended ones that are not evicted yet. */
  jobs: Map<string, JobState>;
  /** Jobs ordered by the monotonic time of their deadlines, in ms. */
  jobsByDeadline: BinaryHeap<JobState>;
  /** Ended jobs that are not evicted yet, in the order in which they ended. */
  ended: JobState[];
  /** Memory of the requests of open jobs and the results of all jobs in memory, in bytes. */
  jobBytes: number;
  /** Memory above which further jobs are refused, in bytes. */
  maxJobBytes: number;
  /** Attempts that have not ended, by id. */
  attempts: Map<number, Attempt>;
  nextAttemptId: number;
  scheduler: EntrySchedulerState;
  /** Commands that the process has not taken from the state yet. */
  outbox: EntryCommand[];
};

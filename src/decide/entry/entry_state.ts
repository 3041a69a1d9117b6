import type { ConfigurationVersion } from "../../config/configuration_version.ts";
import type { BinaryHeap } from "../../utils/binary_heap.ts";
import type { JobState } from "../job/job_state.ts";
import type { LeaseState } from "../own/lease_state.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { SchedulerState } from "../route/scheduler_state.ts";
import type { Attempt } from "./attempt.ts";
import type { EntryCommand } from "./entry_command.ts";

/** Everything an entry decides from; changed only by the functions of this folder. */
export type EntryState = {
  dataCentre: string;
  version: ConfigurationVersion;
  lease: LeaseState;
  /** Whether new jobs are turned away because the process is to stop. */
  draining: boolean;
  /** Shards held now, by index. */
  shards: Map<number, ShardState>;
  /** Shards given up that still have open jobs or unwritten records. */
  releasedShards: ShardState[];
  /** Jobs in memory, ended ones included, by key. */
  jobs: Map<string, JobState>;
  /** Jobs by the monotonic time of their deadline. */
  deadlines: BinaryHeap<JobState>;
  /** Ended jobs in the order in which they ended. */
  ended: JobState[];
  /** Tasks at endpoints by attempt id. */
  attempts: Map<number, Attempt>;
  nextAttempt: number;
  scheduler: SchedulerState;
  /** Commands decided and not yet taken out. */
  outbox: EntryCommand[];
};

import type { ConfigurationVersion } from "../../config/configuration_version.ts";
import { BinaryHeap } from "../../utils/binary_heap.ts";
import { createLeaseState } from "../own/create_lease_state.ts";
import { createEntryScheduler } from "../route/create_entry_scheduler.ts";
import type { EntryState } from "./entry_state.ts";

/** Creates the state of an entry that has no lease and no shards yet. */
export function createEntryState(
  options: {
    dataCentre: string;
    incarnation: string;
    version: ConfigurationVersion;
    random: () => number;
    /** See `EntryState`. Default: unlimited. */
    maxJobBytes?: number;
  },
): EntryState {
  return {
    dataCentre: options.dataCentre,
    version: options.version,
    lease: createLeaseState(options.incarnation),
    draining: false,
    shards: new Map(),
    releasedShards: [],
    jobs: new Map(),
    jobsByDeadline: new BinaryHeap(),
    ended: [],
    jobBytes: 0,
    maxJobBytes: options.maxJobBytes ?? Infinity,
    attempts: new Map(),
    nextAttemptId: 1,
    scheduler: createEntryScheduler(
      options.version.configuration.policy,
      options.random,
    ),
    outbox: [],
  };
}

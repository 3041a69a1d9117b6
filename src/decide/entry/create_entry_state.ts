import type { ConfigurationVersion } from "../../config/configuration_version.ts";
import { BinaryHeap } from "../../utils/binary_heap.ts";
import { createLeaseState } from "../own/create_lease_state.ts";
import { createScheduler } from "../route/create_scheduler.ts";
import type { EntryState } from "./entry_state.ts";

/** Creates the state of an entry that holds no lease and no shard yet. */
export function createEntryState(
  options: {
    dataCentre: string;
    incarnation: string;
    version: ConfigurationVersion;
    random: () => number;
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
    deadlines: new BinaryHeap(),
    ended: [],
    attempts: new Map(),
    nextAttempt: 1,
    scheduler: createScheduler(
      options.version.configuration.policy,
      options.random,
    ),
    outbox: [],
  };
}

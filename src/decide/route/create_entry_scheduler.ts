import type { Policy } from "../../config/policy.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/** Retry tokens in the budget at the start. */
const INITIAL_RETRY_TOKENS = 20;

/** Creates the scheduler of an entry that owns no endpoint yet. */
export function createEntryScheduler(
  policy: Policy,
  random: () => number,
): EntrySchedulerState {
  return {
    policy,
    endpoints: new Map(),
    endpointsByService: new Map(),
    queues: new Map(),
    clients: new Map(),
    estimates: new Map(),
    waitingWorkMs: new Map(),
    retryBudget: { tokens: INITIAL_RETRY_TOKENS },
    virtualTimeMs: 0,
    roundRobinIndex: 0,
    random,
  };
}

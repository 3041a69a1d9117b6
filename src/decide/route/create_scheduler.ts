import type { Policy } from "../../config/policy.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Retries allowed before any first attempt has earned some. */
const INITIAL_RETRIES = 20;

/** Creates a scheduler that leads no endpoint yet. */
export function createScheduler(
  policy: Policy,
  random: () => number,
): SchedulerState {
  return {
    policy,
    endpoints: new Map(),
    byService: new Map(),
    queues: new Map(),
    clients: new Map(),
    estimates: new Map(),
    waitingMs: new Map(),
    retries: { tokens: INITIAL_RETRIES },
    virtualMs: 0,
    turn: 0,
    random,
  };
}

import type { SchedulerLimits } from "./scheduler_limits.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Creates the state of a scheduler that has just been given its token. */
export function createSchedulerState(
  token: number,
  options: { limits: SchedulerLimits; nowMs: number; isSolo?: boolean },
): SchedulerState {
  return {
    token,
    isSolo: options.isSolo ?? false,
    limits: options.limits,
    beganMs: options.nowMs,
    jobs: new Map(),
    waiting: new Set(),
    endpoints: new Map(),
    earlierDone: new Map(),
    missing: new Map(),
    routes: new Map(),
    effects: [],
  };
}

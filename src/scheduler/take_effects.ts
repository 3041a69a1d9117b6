import type { Effect } from "./effect.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Returns the effects collected so far, in order, and clears them. */
export function takeEffects(state: SchedulerState): Effect[] {
  const { effects } = state;
  state.effects = [];
  return effects;
}

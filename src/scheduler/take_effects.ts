import type { Effect } from "./effect.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes the effects collected so far, in order. */
export function takeEffects(state: SchedulerState): Effect[] {
  const { effects } = state;
  state.effects = [];
  return effects;
}

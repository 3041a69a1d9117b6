import type { Effect } from "./effect.ts";
import type { SchedulerState } from "./scheduler_state.ts";

type LogEffect = Extract<Effect, { type: "log" }>;

/** Adds a line for the log to the effects. */
export function recordEvent(
  state: SchedulerState,
  event: LogEffect["event"],
  fields: LogEffect["fields"],
): void {
  state.effects.push({ type: "log", event, fields });
}

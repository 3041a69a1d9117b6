import type { EventName } from "../log/event_name.ts";
import type { EventFields } from "../log/event_fields.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Adds a log line to the scheduler's effects. */
export function recordEvent<Event extends EventName>(
  state: SchedulerState,
  event: Event,
  fields: EventFields<Event>,
): void {
  state.effects.push({ type: "log", event, fields });
}

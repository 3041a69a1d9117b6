import type { EventName } from "../log/event_name.ts";
import type { EventFields } from "../log/event_fields.ts";

/** Writes one JSON line an event. */
export type EventLog = <Event extends EventName>(
  event: Event,
  fields?: EventFields<Event>,
) => void;

import type { EventName } from "../log/event_name.ts";
import type { EventFields } from "../log/event_fields.ts";

/** Writes a log event as one line of JSON. */
export type EventLog = <Event extends EventName>(
  event: Event,
  fields?: EventFields<Event>,
) => void;

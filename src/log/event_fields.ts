import type { LOG_EVENTS } from "./log_events.ts";
import type { EventName } from "./event_name.ts";

/** The fields that the log line of an event may have; each is optional. */
export type EventFields<Event extends EventName = EventName> = {
  [Field in (typeof LOG_EVENTS)[Event][number]]?:
    | string
    | number
    | boolean;
};

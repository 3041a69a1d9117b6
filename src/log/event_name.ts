import type { LOG_EVENTS } from "./log_events.ts";

/** The name of a log event. */
export type EventName = keyof typeof LOG_EVENTS;

import type { LOG_EVENTS } from "./log_events.ts";

/** The name of a log event of a process on the platform. */
export type EventName = keyof typeof LOG_EVENTS;

import type { LogFields } from "./log_fields.ts";

/** Writes one JSON line an event to standard error. */
export type Logger = {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
};

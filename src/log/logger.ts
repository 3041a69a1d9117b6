import type { LogFields } from "./log_fields.ts";

/** Logs events, by level, as one JSON line each on standard error. */
export type Logger = {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
};

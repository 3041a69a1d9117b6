/** Log levels, from the most to the least detailed; `silent` logs nothing. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

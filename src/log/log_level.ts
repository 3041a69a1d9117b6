/** The levels of the log, from the most to the least detailed. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

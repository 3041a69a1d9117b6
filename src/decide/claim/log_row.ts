import type { LogRecord } from "./log_record.ts";

/** The value of a row of a shard's log. */
export type LogRow = {
  /** The process whose records these are. */
  owner: string;
  /** The incarnation of that process. */
  incarnation: string;
  records: LogRecord[];
};

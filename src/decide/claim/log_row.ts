import type { LogRecord } from "./log_record.ts";

/** Value of a row of a shard log in the platform table. */
export type LogRow = {
  /** Name of the process that wrote the records. */
  owner: string;
  /** Incarnation of the process that wrote the records. */
  incarnation: string;
  records: LogRecord[];
};

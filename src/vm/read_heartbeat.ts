import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";

/** Reads the age of the scheduler's last heartbeat, by the store's clock. Rejects when the store does not answer. */
export async function readHeartbeat(table: Table, key: string): Promise<{
  /** Age in ms; undefined when no heartbeat was ever written. */
  ageMs: number | undefined;
  /** Store's clock minus this process's monotonic clock, in ms. */
  storeOffsetMs: number;
}> {
  const scan = await table.scan(key, 0);
  const heartbeat = scan.rows.find((row) => row.key === key)?.value as
    | HeartbeatRow
    | undefined;
  return {
    ageMs: heartbeat ? scan.atMs - heartbeat.storeMs : undefined,
    storeOffsetMs: scan.atMs - readMonotonicMs(),
  };
}

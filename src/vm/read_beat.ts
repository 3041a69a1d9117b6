import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";

/** Reads how old the scheduler's last beat is, by the store's clock. */
export async function readBeat(table: Table, key: string): Promise<{
  /** In ms; undefined when none was ever written. */
  ageMs: number | undefined;
  /** The store's clock less this process's, in ms. */
  storeOffsetMs: number;
}> {
  const scan = await table.scan(key, 0);
  const beat = scan.rows.find((row) => row.key === key)?.value as
    | HeartbeatRow
    | undefined;
  return {
    ageMs: beat ? scan.atMs - beat.storeMs : undefined,
    storeOffsetMs: scan.atMs - readMonotonicMs(),
  };
}

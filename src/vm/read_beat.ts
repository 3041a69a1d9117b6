import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { BeatRow } from "./beat_row.ts";
import { ROW_KEYS } from "./row_keys.ts";

/** Reads how old the scheduler's last beat is, by the store's clock. */
export async function readBeat(table: Table): Promise<{
  /** In ms; undefined when none was ever written. */
  ageMs: number | undefined;
  /** The store's clock less this process's, in ms. */
  storeOffsetMs: number;
}> {
  const scan = await table.scan(ROW_KEYS.beat, 0);
  const beat = scan.rows[0]?.value as BeatRow | undefined;
  return {
    ageMs: beat ? scan.atMs - beat.storeMs : undefined,
    storeOffsetMs: scan.atMs - readMonotonicMs(),
  };
}

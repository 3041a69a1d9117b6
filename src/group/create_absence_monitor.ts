import type { TableRow } from "../store/table_row.ts";

/** Longest time between two observations, in ms. After a longer one the rows may be old because nobody could write, so that the absence is measured anew. */
const MAX_GAP_MS = 2_000;

/** Creates a monitor of rows that are written at short intervals: it measures for how long a row has not changed while the store could be read all the time. */
export function createAbsenceMonitor(keys: string[]): {
  /** Records the rows as they were read at `nowMs`. */
  observe(rows: TableRow[], nowMs: number): void;
  /** Reads for how long the row of a key has not changed, in ms. */
  readAbsentMs(key: string): number;
} {
  const seen = new Map<string, { revision: number; sinceMs: number }>();
  let observedMs = -Infinity;

  function recordKey(key: string, rows: TableRow[], nowMs: number): void {
    const revision = rows.find((row) => row.key === key)?.revision ?? 0;
    const known = seen.get(key);
    const isUnbroken = nowMs - observedMs <= MAX_GAP_MS;
    if (known?.revision === revision && isUnbroken) return;
    seen.set(key, { revision, sinceMs: nowMs });
  }

  return {
    observe: (rows, nowMs) => {
      for (const key of keys) recordKey(key, rows, nowMs);
      observedMs = nowMs;
    },
    readAbsentMs: (key) => observedMs - (seen.get(key)?.sinceMs ?? observedMs),
  };
}

import type { Table } from "../store/table.ts";
import type { ScanResult } from "../store/scan_result.ts";

/** A table whose changes can be watched. */
export type WatchableTable = Table & {
  /** Long poll: resolves with the rows that changed after `sinceRevision`, or with none after `waitMs`. */
  watch(
    prefix: string,
    options: { sinceRevision: number; waitMs: number },
  ): Promise<ScanResult>;
};

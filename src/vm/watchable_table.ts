import type { Table } from "../store/table.ts";
import type { ScanResult } from "../store/scan_result.ts";

/** A table that can also be waited on. */
export type WatchableTable = Table & {
  /** Resolves with the rows that changed after a revision, or with none after the wait. */
  watch(
    prefix: string,
    options: { sinceRevision: number; waitMs: number },
  ): Promise<ScanResult>;
};

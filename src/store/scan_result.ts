import type { TableRow } from "./table_row.ts";

/** Rows under a prefix, with the platform's time and the table's revision. */
export type ScanResult = {
  rows: TableRow[];
  /** The table's revision at the read; pass it on to read only later changes. */
  revision: number;
  /** The platform's time at the read, in Unix ms. */
  atMs: number;
};

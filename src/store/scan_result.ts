import type { TableRow } from "./table_row.ts";

/** The rows of a key prefix, with the platform's time and the table's revision. */
export type ScanResult = {
  rows: TableRow[];
  /** The table's revision at the read. A scan or watch since this revision returns only later changes. */
  revision: number;
  /** The platform's time at the read, in Unix ms. */
  atMs: number;
};

import type { Table } from "../store/table.ts";
import type { TableRow } from "../store/table_row.ts";

/** Reads the row of a key from the store; undefined when there is none. Rejects when the store does not answer. */
export async function readStoredRow(
  table: Table,
  key: string,
): Promise<TableRow | undefined> {
  const { rows } = await table.scan(key, 0);
  return rows.find((row) => row.key === key);
}

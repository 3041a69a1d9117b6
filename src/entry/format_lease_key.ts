import { formatRowKey } from "../store/format_row_key.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Formats the table key of a process's lease row. The key contains the data
 * centre, because leases are read per data centre.
 */
export function formatLeaseKey(context: EntryContext, name: string): string {
  return formatRowKey("lease", `${context.settings.dataCentre}/${name}`);
}

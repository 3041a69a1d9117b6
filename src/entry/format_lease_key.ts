import { formatRowKey } from "../store/format_row_key.ts";
import type { EntryContext } from "./entry_context.ts";

/** Formats the table key of a process's lease row; leases are read data centre by data centre. */
export function formatLeaseKey(context: EntryContext, name: string): string {
  return formatRowKey("lease", `${context.settings.dataCentre}/${name}`);
}

import type { VersionRecord } from "../../src/config/version_record.ts";
import type { LeaseRow } from "../../src/decide/own/lease_row.ts";
import type { ShardRow } from "../../src/decide/own/shard_row.ts";
import type { ViewMessage } from "../../src/peer/view_message.ts";
import { formatRowKey } from "../../src/store/format_row_key.ts";
import type { TableRow } from "../../src/store/table_row.ts";

/** Creates the view message that a control daemon sends to the entries of its data centre, from the platform's rows. */
export function createViewMessage(
  rows: TableRow[],
  options: { versions: TableRow[]; known: number; dataCentre: string },
): ViewMessage {
  const head = options.versions.at(-1)?.value as VersionRecord | undefined;
  const isNew = head !== undefined && head.version > options.known;
  return {
    version: head?.version ?? 0,
    configuration: isNew ? JSON.stringify(head.configuration) : "",
    leases: pick<LeaseRow>(
      rows,
      formatRowKey("lease", `${options.dataCentre}/`),
    ),
    shards: pick<ShardRow>(rows, formatRowKey("shard")),
    leavingAddresses: [],
  };
}

function pick<Value>(rows: TableRow[], prefix: string): TableRow<Value>[] {
  return rows
    .filter((row) => row.key.startsWith(prefix))
    .map((row) => ({
      ...row as TableRow<Value>,
      key: row.key.slice(prefix.length),
    }));
}

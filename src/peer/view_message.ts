import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { TableRow } from "../store/table_row.ts";

/** What a control daemon tells its VM's entries. */
export type ViewMessage = {
  version: number;
  /** The configuration as JSON text; empty when it did not change. */
  configuration: string;
  /** Rows that changed; their keys are without the table's prefix. */
  leases: TableRow<LeaseRow>[];
  shards: TableRow<ShardRow>[];
  leavingAddresses: string[];
};

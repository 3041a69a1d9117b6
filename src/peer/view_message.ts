import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { TableRow } from "../store/table_row.ts";

/** A message of a control daemon to the entries of its VM, `View` in proto/peer.proto. */
export type ViewMessage = {
  version: number;
  /** The configuration as JSON text; empty when it is unchanged. */
  configuration: string;
  /** Changed lease rows; their keys lack the table's prefix. */
  leases: TableRow<LeaseRow>[];
  /** Changed shard rows; their keys lack the table's prefix. */
  shards: TableRow<ShardRow>[];
  /** Addresses of VMs that the platform lists as leaving. */
  leavingAddresses: string[];
};

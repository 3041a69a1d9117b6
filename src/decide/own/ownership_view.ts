import type { TableRow } from "../../store/table_row.ts";
import type { LeaseRow } from "./lease_row.ts";
import type { ShardRow } from "./shard_row.ts";

/** Lease and shard rows as this process last read them. */
export type OwnershipView = {
  /** Lease rows by process name. */
  leases: Map<string, TableRow<LeaseRow>>;
  /** Shard rows by data centre and shard index, joined by a slash. */
  shards: Map<string, TableRow<ShardRow>>;
  /** IP addresses of VMs that the platform lists as leaving. */
  leavingAddresses: string[];
  /** Incarnations that are confirmed dead, even if their leases have not expired. */
  confirmedDead: Set<string>;
  /** Difference of the platform's clock and the monotonic clock of this process, in ms. */
  platformOffsetMs: number;
};

import type { TableRow } from "../../store/table_row.ts";
import type { LeaseRow } from "./lease_row.ts";
import type { ShardRow } from "./shard_row.ts";

/** The lease and shard rows as a process last read them. */
export type OwnershipView = {
  /** Lease rows by process name. */
  leases: Map<string, TableRow<LeaseRow>>;
  /** Shard rows by data centre and index, joined with a slash. */
  shards: Map<string, TableRow<ShardRow>>;
  /** Addresses of VMs that the platform lists as leaving. */
  leavingAddresses: string[];
  /** Incarnations that are certainly dead, whatever their leases say. */
  confirmedDead: Set<string>;
  /** Platform time less this process's monotonic time, in ms. */
  platformOffsetMs: number;
};

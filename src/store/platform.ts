import type { ObjectStore } from "./object_store.ts";
import type { PlatformMember } from "./platform_member.ts";
import type { Table } from "./table.ts";

/** The platform's services that this product uses. */
export type Platform = {
  table: Table;
  objects: ObjectStore;
  /** Reads the list of live and leaving VMs, which is updated with a delay. */
  readMembers(): Promise<PlatformMember[]>;
  /** Closes the connections to the platform. */
  close(): Promise<void>;
};

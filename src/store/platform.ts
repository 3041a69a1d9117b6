import type { ObjectStore } from "./object_store.ts";
import type { PlatformMember } from "./platform_member.ts";
import type { Table } from "./table.ts";

/** The platform's services that this product relies on. */
export type Platform = {
  table: Table;
  objects: ObjectStore;
  /** Reads the lagging list of live and leaving VMs. */
  readMembers(): Promise<PlatformMember[]>;
  /** Closes the connections held towards the platform. */
  close(): Promise<void>;
};

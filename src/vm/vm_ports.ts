import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { EndpointClient } from "./endpoint_client.ts";
import type { WatchableTable } from "./watchable_table.ts";

/** Interfaces of a VM's process to the outside: the store and the endpoints. */
export type VmPorts = {
  table: WatchableTable;
  /** Reads all endpoints that the store lists. Rejects when the store does not answer. */
  readEndpoints(): Promise<EndpointRow[]>;
  createEndpointClient(row: EndpointRow): EndpointClient;
};

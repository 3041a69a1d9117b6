import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { EndpointClient } from "./endpoint_client.ts";
import type { WatchableTable } from "./watchable_table.ts";

/** The outside world as a VM's process sees it. */
export type VmPorts = {
  table: WatchableTable;
  /** Reads all endpoints that the store lists; rejects when the store does not answer. */
  readEndpoints(): Promise<EndpointRow[]>;
  createEndpointClient(row: EndpointRow): EndpointClient;
};

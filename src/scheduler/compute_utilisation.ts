import type { EndpointRecord } from "./endpoint_record.ts";

/** Computes the used part of an endpoint's CPU capacity; 1 while it has no capacity or less than is used. */
export function computeUtilisation({ used, row }: EndpointRecord): number {
  return used.cpu < row.room.cpu ? used.cpu / row.room.cpu : 1;
}

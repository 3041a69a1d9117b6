import type { EndpointRow } from "./endpoint_row.ts";

/** Merges the row of an endpoint with the one that was read before: keeps the largest capacity that either shows. */
export function mergeLargestRoom(
  row: EndpointRow,
  earlier: EndpointRow | undefined,
): EndpointRow {
  if (!earlier) return row;
  const one = earlier.largestRoom ?? earlier.room;
  const other = row.largestRoom ?? row.room;
  return {
    ...row,
    largestRoom: {
      cpu: Math.max(one.cpu, other.cpu),
      memoryMb: Math.max(one.memoryMb, other.memoryMb),
      gpus: Math.max(one.gpus, other.gpus),
    },
  };
}

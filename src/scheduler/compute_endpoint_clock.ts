import type { EndpointRecord } from "./endpoint_record.ts";

/** Computes an endpoint's clock at a time of the scheduler's clock, in ms, from the endpoint's last reply. */
export function computeEndpointClock(
  { clockMs, lastReplyMs }: EndpointRecord,
  nowMs: number,
): number {
  return clockMs + (nowMs - lastReplyMs);
}

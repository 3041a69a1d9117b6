import type { EndpointRecord } from "./endpoint_record.ts";

/** Lowest rate at which an endpoint's clock may run, relative to the scheduler's clock. */
const MIN_CLOCK_RATE = 0.98;

/** Computes the lowest time that an endpoint's clock can show now, in ms. */
export function computeMinClock(
  endpoint: EndpointRecord,
  nowMs: number,
): number {
  return endpoint.clockMs + (nowMs - endpoint.lastReplyMs) * MIN_CLOCK_RATE;
}

import type { EndpointRecord } from "./endpoint_record.ts";

/** Endpoints' clocks may run this much slower than ours. */
const CLOCK_RATE = 0.98;

/** Computes what an endpoint's clock shows by now at least, in ms. */
export function computeLeastClock(
  endpoint: EndpointRecord,
  nowMs: number,
): number {
  return endpoint.clockMs + (nowMs - endpoint.heardMs) * CLOCK_RATE;
}

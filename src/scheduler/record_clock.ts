import type { EndpointRecord } from "./endpoint_record.ts";

/** Takes the endpoint's clock from an answer of it. */
export function recordClock(
  endpoint: EndpointRecord,
  heard: { clockMs: number; nowMs: number },
): void {
  endpoint.clockMs = heard.clockMs;
  endpoint.heardMs = heard.nowMs;
}

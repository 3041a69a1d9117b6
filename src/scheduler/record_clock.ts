import type { EndpointRecord } from "./endpoint_record.ts";

/** Records the time of an endpoint's clock from its reply, and when the reply arrived. */
export function recordClock(
  endpoint: EndpointRecord,
  reply: { clockMs: number; nowMs: number },
): void {
  endpoint.clockMs = reply.clockMs;
  endpoint.lastReplyMs = reply.nowMs;
}

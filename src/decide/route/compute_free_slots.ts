import type { EndpointState } from "./endpoint_state.ts";

/** Computes how many tasks an endpoint may be sent now. */
export function computeFreeSlots(
  endpoint: EndpointState,
  nowMs: number,
): number {
  if (endpoint.closed || endpoint.phase === "ejected") return 0;
  if (nowMs < endpoint.pausedUntilMs) return 0;
  const limit = endpoint.phase === "probing" ? 1 : endpoint.limit;
  return Math.max(0, limit - endpoint.inFlight);
}

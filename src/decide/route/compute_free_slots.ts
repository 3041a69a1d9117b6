import type { EndpointState } from "./endpoint_state.ts";

/**
 * Computes the number of tasks that may be sent to an endpoint now; a probed
 * endpoint gets at most one.
 */
export function computeFreeSlots(
  endpoint: EndpointState,
  nowMs: number,
): number {
  if (endpoint.closed || endpoint.phase === "ejected") return 0;
  if (nowMs < endpoint.pausedUntilMs) return 0;
  const limit = endpoint.phase === "probing" ? 1 : endpoint.limit;
  return Math.max(0, limit - endpoint.inFlight);
}

import type { EndpointState } from "../route/endpoint_state.ts";

/** First pause of an endpoint that refused, and the longest one, in ms. */
const FIRST_PAUSE_MS = 10;
const MOST_PAUSE_MS = 1_000;

/**
 * Records that the endpoint was full: it gets no more at once than it runs
 * now, and is left alone for a jittered pause that doubles with each refusal.
 */
export function recordEndpointRefusal(
  endpoint: EndpointState,
  nowMs: number,
  random: () => number,
): void {
  endpoint.limit = Math.max(1, Math.min(endpoint.limit, endpoint.inFlight));
  const doubledMs = FIRST_PAUSE_MS * 2 ** endpoint.refusalsInRow;
  const pauseMs = Math.min(MOST_PAUSE_MS, doubledMs) * (0.5 + random());
  endpoint.pausedUntilMs = nowMs + pauseMs;
  endpoint.refusalsInRow += 1;
}

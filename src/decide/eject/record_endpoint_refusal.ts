import type { EndpointState } from "../route/endpoint_state.ts";

const INITIAL_PAUSE_MS = 10;
const MAX_PAUSE_MS = 1_000;

/**
 * Records that an endpoint refused a task because it was full. Its limit of
 * concurrent tasks is lowered to the number in flight, and it gets no tasks for
 * a jittered pause that doubles with each refusal in a row.
 */
export function recordEndpointRefusal(
  endpoint: EndpointState,
  nowMs: number,
  random: () => number,
): void {
  endpoint.limit = Math.max(1, Math.min(endpoint.limit, endpoint.inFlight));
  const doubledMs = INITIAL_PAUSE_MS * 2 ** endpoint.refusalsInRow;
  const pauseMs = Math.min(MAX_PAUSE_MS, doubledMs) * (0.5 + random());
  endpoint.pausedUntilMs = nowMs + pauseMs;
  endpoint.refusalsInRow += 1;
}

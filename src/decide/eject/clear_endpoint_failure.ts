import type { EndpointState } from "../route/endpoint_state.ts";

/**
 * Subtracts one failure from the count of an endpoint: the task failed at
 * another endpoint too, so the task is the likely cause.
 */
export function clearEndpointFailure(endpoint: EndpointState): void {
  endpoint.failuresInRow = Math.max(0, endpoint.failuresInRow - 1);
}

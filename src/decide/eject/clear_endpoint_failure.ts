import type { EndpointState } from "../route/endpoint_state.ts";

/** Takes back one failure of an endpoint, since the task failed elsewhere too. */
export function clearEndpointFailure(endpoint: EndpointState): void {
  endpoint.failuresInRow = Math.max(0, endpoint.failuresInRow - 1);
}

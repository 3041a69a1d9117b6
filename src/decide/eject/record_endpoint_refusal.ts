import type { EndpointState } from "../route/endpoint_state.ts";

/** Records that the endpoint was full: it gets no more at once than it runs now. */
export function recordEndpointRefusal(endpoint: EndpointState): void {
  endpoint.limit = Math.max(1, Math.min(endpoint.limit, endpoint.inFlight));
}

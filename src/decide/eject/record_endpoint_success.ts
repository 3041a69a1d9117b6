import { advanceChart } from "../../charts/advance_chart.ts";
import { endpointChart } from "../../charts/endpoint_chart.ts";
import type { EndpointState } from "../route/endpoint_state.ts";

/**
 * Records a task that succeeded at an endpoint: a probed endpoint is healthy
 * again, and a lowered limit rises by one.
 */
export function recordEndpointSuccess(endpoint: EndpointState): void {
  endpoint.failuresInRow = 0;
  endpoint.refusalsInRow = 0;
  if (endpoint.limit < endpoint.slots && !endpoint.isHandedOver) {
    endpoint.limit += 1;
  }
  if (endpoint.phase !== "probing") return;
  endpoint.phase = advanceChart(endpointChart, endpoint.phase, "admit");
  endpoint.consecutiveEjections = 0;
}

import { advanceChart } from "../../charts/advance_chart.ts";
import { endpointChart } from "../../charts/endpoint_chart.ts";
import type { EndpointState } from "../route/endpoint_state.ts";

/**
 * Starts to probe the endpoints whose ejection time is over: each may run one
 * task, whose outcome readmits the endpoint or ejects it again.
 */
export function probeEjectedEndpoints(
  endpoints: Iterable<EndpointState>,
  nowMs: number,
): void {
  for (const endpoint of endpoints) {
    if (endpoint.phase !== "ejected" || nowMs < endpoint.ejectedUntilMs) {
      continue;
    }
    endpoint.phase = advanceChart(endpointChart, endpoint.phase, "probe");
  }
}

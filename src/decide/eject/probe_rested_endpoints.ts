import { advanceChart } from "../../charts/advance_chart.ts";
import { endpointChart } from "../../charts/endpoint_chart.ts";
import type { EndpointState } from "../route/endpoint_state.ts";

/** Lets endpoints that have rested long enough take one task each. */
export function probeRestedEndpoints(
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

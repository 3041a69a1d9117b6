import { advanceChart } from "../../charts/advance_chart.ts";
import { endpointChart } from "../../charts/endpoint_chart.ts";
import type { Policy } from "../../config/policy.ts";
import type { EndpointState } from "../route/endpoint_state.ts";

/** Maximum number of times that the ejection time of an endpoint is doubled. */
const MAX_DOUBLINGS = 5;

/**
 * Records a failed attempt at an endpoint. The endpoint is ejected after
 * `policy.ejectAfter` failures in a row or a failed probe; the ejection time
 * doubles with each consecutive ejection.
 */
export function recordEndpointFailure(
  endpoint: EndpointState,
  options: {
    policy: Policy;
    nowMs: number;
    /** The endpoints of the same service, including this one. */
    endpointsOfService: EndpointState[];
  },
): void {
  const { policy, nowMs, endpointsOfService } = options;
  endpoint.failuresInRow += 1;
  if (endpoint.phase === "ejected") return;
  const isFailing = endpoint.failuresInRow >= policy.ejectAfter;
  if (!isFailing && endpoint.phase !== "probing") return;
  if (endpoint.phase === "healthy" && !canEject(endpointsOfService)) return;
  endpoint.phase = advanceChart(endpointChart, endpoint.phase, "eject");
  const doublings = Math.min(MAX_DOUBLINGS, endpoint.consecutiveEjections);
  endpoint.ejectedUntilMs = nowMs + policy.ejectMs * 2 ** doublings;
  endpoint.consecutiveEjections += 1;
}

/**
 * Returns whether at least half of the endpoints stay in use: if most of them
 * fail, the tasks are the likely cause.
 */
function canEject(endpointsOfService: EndpointState[]): boolean {
  const ejected =
    endpointsOfService.filter((one) => one.phase !== "healthy").length;
  return ejected + 1 <= endpointsOfService.length / 2;
}

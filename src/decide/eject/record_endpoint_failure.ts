import { advanceChart } from "../../charts/advance_chart.ts";
import { endpointChart } from "../../charts/endpoint_chart.ts";
import type { Policy } from "../../config/policy.ts";
import type { EndpointState } from "../route/endpoint_state.ts";

/** Most times the rest of an ejected endpoint is doubled. */
const MOST_DOUBLINGS = 5;

/** Records a failed attempt; ejects the endpoint after enough of them in a row. */
export function recordEndpointFailure(
  endpoint: EndpointState,
  options: {
    policy: Policy;
    nowMs: number;
    /** The endpoints that serve the same, this one included. */
    alike: EndpointState[];
  },
): void {
  const { policy, nowMs, alike } = options;
  endpoint.failuresInRow += 1;
  if (endpoint.phase === "ejected") return;
  const enough = endpoint.failuresInRow >= policy.ejectAfter;
  if (!enough && endpoint.phase !== "probing") return;
  if (endpoint.phase === "healthy" && !canEject(alike)) return;
  endpoint.phase = advanceChart(endpointChart, endpoint.phase, "eject");
  const doublings = Math.min(MOST_DOUBLINGS, endpoint.ejections);
  endpoint.ejectedUntilMs = nowMs + policy.ejectMs * 2 ** doublings;
  endpoint.ejections += 1;
}

/** At least half of the endpoints stay in: when most fail, the tasks are at fault. */
function canEject(alike: EndpointState[]): boolean {
  const out = alike.filter((one) => one.phase !== "healthy").length;
  return out + 1 <= alike.length / 2;
}

import { match } from "ts-pattern";
import type { EndpointState } from "./endpoint_state.ts";
import type { RoutingWay } from "./routing_way.ts";

/** Chooses among the endpoints with a free slot; undefined when there is none. */
export function chooseFreeEndpoint(
  way: RoutingWay,
  options: {
    free: EndpointState[];
    random: () => number;
  },
): EndpointState | undefined {
  const { free, random } = options;
  if (free.length === 0) return undefined;
  return match(way)
    .with("sharedQueue", () => free[Math.floor(random() * free.length)])
    .otherwise(() => free.reduce(chooseFaster));
}

function chooseFaster(
  one: EndpointState,
  other: EndpointState,
): EndpointState {
  if (one.slowness !== other.slowness) {
    return one.slowness < other.slowness ? one : other;
  }
  return one.inFlight <= other.inFlight ? one : other;
}

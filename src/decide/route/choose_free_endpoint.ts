import { match } from "ts-pattern";
import type { EndpointState } from "./endpoint_state.ts";
import type { RoutingStrategy } from "./routing_strategy.ts";

/**
 * Chooses an endpoint among those with a free slot by the routing strategy;
 * undefined when there is none.
 */
export function chooseFreeEndpoint(
  strategy: RoutingStrategy,
  options: {
    free: EndpointState[];
    /** Returns a random number from 0 (included) to 1 (excluded). */
    random: () => number;
  },
): EndpointState | undefined {
  const { free, random } = options;
  if (free.length === 0) return undefined;
  return match(strategy)
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

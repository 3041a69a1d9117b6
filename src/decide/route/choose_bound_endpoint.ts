import { match } from "ts-pattern";
import type { EndpointState } from "./endpoint_state.ts";
import type { RoutingStrategy } from "./routing_strategy.ts";

/**
 * Chooses the endpoint whose queue a task joins on arrival, for the routing
 * strategies that bind early; undefined when there is none.
 */
export function chooseBoundEndpoint(
  strategy: RoutingStrategy,
  options: {
    /** Endpoints that accept tasks. */
    usable: EndpointState[];
    /** Returns a random number from 0 (included) to 1 (excluded). */
    random: () => number;
    /** Number of tasks bound so far, which rotates through the endpoints. */
    roundRobinIndex: number;
  },
): EndpointState | undefined {
  const { usable, random, roundRobinIndex } = options;
  if (usable.length === 0) return undefined;
  return match(strategy)
    .with("roundRobin", () => usable[roundRobinIndex % usable.length])
    .with(
      "powerOfTwo",
      () =>
        chooseLessLoaded(
          pickRandom(usable, random),
          pickRandom(usable, random),
        ),
    )
    .with("leastExpectedWork", () => usable.reduce(chooseLessLoaded))
    .otherwise(() => pickRandom(usable, random));
}

function pickRandom(
  usable: EndpointState[],
  random: () => number,
): EndpointState {
  return usable[Math.floor(random() * usable.length)];
}

function chooseLessLoaded(
  one: EndpointState,
  other: EndpointState,
): EndpointState {
  return computeDelay(one) <= computeDelay(other) ? one : other;
}

/** Computes a measure of the time that a new task would wait, to compare endpoints. */
function computeDelay(endpoint: EndpointState): number {
  const runningShare = endpoint.inFlight / endpoint.slots;
  const waitingShareMs = endpoint.boundWorkMs / endpoint.slots;
  return (waitingShareMs + runningShare) * endpoint.slowness;
}

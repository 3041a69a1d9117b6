import { match } from "ts-pattern";
import type { EndpointState } from "./endpoint_state.ts";
import type { RoutingWay } from "./routing_way.ts";

/** Chooses the endpoint whose own queue a task joins on arrival. */
export function chooseBoundEndpoint(
  way: RoutingWay,
  options: {
    open: EndpointState[];
    random: () => number;
    /** Tasks bound so far, for taking turns. */
    turn: number;
  },
): EndpointState | undefined {
  const { open, random, turn } = options;
  if (open.length === 0) return undefined;
  return match(way)
    .with("roundRobin", () => open[turn % open.length])
    .with(
      "powerOfTwo",
      () => chooseShorter(pickRandom(open, random), pickRandom(open, random)),
    )
    .with("leastExpectedWork", () => open.reduce(chooseShorter))
    .otherwise(() => pickRandom(open, random));
}

function pickRandom(
  open: EndpointState[],
  random: () => number,
): EndpointState {
  return open[Math.floor(random() * open.length)];
}

function chooseShorter(
  one: EndpointState,
  other: EndpointState,
): EndpointState {
  return computeDelay(one) <= computeDelay(other) ? one : other;
}

function computeDelay(endpoint: EndpointState): number {
  const runningShare = endpoint.inFlight / endpoint.slots;
  const waiting = endpoint.boundMs / endpoint.slots;
  return (waiting + runningShare) * endpoint.slowness;
}

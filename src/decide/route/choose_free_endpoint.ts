import { match } from "ts-pattern";
import type { EndpointState } from "./endpoint_state.ts";
import type { RoutingWay } from "./routing_way.ts";

/** How much slower than the best an endpoint has to be for a task to wait instead. */
const HOLD_FACTOR = 1.5;

/** Chooses among the endpoints with a free slot; undefined means that the task waits. */
export function chooseFreeEndpoint(
  way: RoutingWay,
  options: {
    free: EndpointState[];
    /** All endpoints that are open for the service. */
    open: EndpointState[];
    random: () => number;
  },
): EndpointState | undefined {
  const { free, open, random } = options;
  if (free.length === 0) return undefined;
  return match(way)
    .with("sharedQueue", () => free[Math.floor(random() * free.length)])
    .with("sharedQueueHold", () => chooseOrHold(free, open))
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

function chooseOrHold(
  free: EndpointState[],
  open: EndpointState[],
): EndpointState | undefined {
  const fastestFree = free.reduce(chooseFaster);
  const fastest = open.reduce(chooseFaster);
  const slower = fastestFree.slowness > HOLD_FACTOR * fastest.slowness;
  return slower ? undefined : fastestFree;
}

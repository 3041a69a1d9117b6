import type { RoutingWay } from "./routing_way.ts";

const EARLY_WAYS: RoutingWay[] = [
  "random",
  "roundRobin",
  "powerOfTwo",
  "leastExpectedWork",
];

/** Whether a way picks the endpoint on arrival rather than when a slot is free. */
export function isEarlyBinding(way: RoutingWay): boolean {
  return EARLY_WAYS.includes(way);
}

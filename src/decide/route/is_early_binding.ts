import type { RoutingStrategy } from "./routing_strategy.ts";

const EARLY_BINDING_STRATEGIES: RoutingStrategy[] = [
  "random",
  "roundRobin",
  "powerOfTwo",
  "leastExpectedWork",
];

/**
 * Returns whether a routing strategy chooses the endpoint when a task arrives,
 * rather than when a slot is free.
 */
export function isEarlyBinding(strategy: RoutingStrategy): boolean {
  return EARLY_BINDING_STRATEGIES.includes(strategy);
}

import type { SchedulerState } from "./scheduler_state.ts";
import type { StepOrder } from "./step_order.ts";

/** Number of samples from which on a route's mean run time weighs as much as the caller's estimate. */
const MIN_ROUTE_SAMPLES = 10;

/**
 * Predicts a task's run time on an average endpoint, in ms: the geometric mean
 * of the caller's estimate and the route's mean. Both are rough, and their
 * geometric mean is closer than either.
 */
export function predictRunMs(
  state: SchedulerState,
  route: string,
  step: StepOrder,
): number {
  const stats = state.routeStats.get(route);
  if (!stats || stats.samples < MIN_ROUTE_SAMPLES) return step.estimateMs;
  if (step.estimateMs <= 0) return stats.meanMs;
  return Math.sqrt(step.estimateMs * stats.meanMs);
}

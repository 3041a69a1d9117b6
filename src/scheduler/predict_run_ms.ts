import { findEstimateMs } from "./find_estimate_ms.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { StepOrder } from "./step_order.ts";

/** Number of samples from which on a route's mean run time weighs as much as the caller's estimate. */
const MIN_ROUTE_SAMPLES = 10;

/**
 * Predicts a task's run time on an average endpoint, in ms: the geometric mean
 * of the caller's estimate and the route's mean. Both are rough, and their
 * geometric mean is closer than either. Undefined if there is neither.
 */
export function predictRunMs(
  state: SchedulerState,
  route: string,
  step: StepOrder,
): number | undefined {
  const estimateMs = findEstimateMs(step);
  const stats = state.routeStats.get(route);
  if (!stats) return estimateMs;
  if (estimateMs === undefined) return stats.meanMs;
  if (stats.samples < MIN_ROUTE_SAMPLES) return estimateMs;
  return Math.sqrt(estimateMs * stats.meanMs);
}

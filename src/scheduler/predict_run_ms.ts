import type { SchedulerState } from "./scheduler_state.ts";
import type { StepOrder } from "./step_order.ts";

/** Samples after which a route's learnt run time weighs as much as a caller's estimate. */
const SAMPLES_FOR_TRUST = 10;

/**
 * Predicts a task's run time on an average endpoint, in ms. Estimates and the
 * route's mean are both rough, so their geometric mean is nearer than either.
 */
export function predictRunMs(
  state: SchedulerState,
  route: string,
  step: StepOrder,
): number {
  const known = state.routes.get(route);
  if (!known || known.samples < SAMPLES_FOR_TRUST) return step.estimateMs;
  if (step.estimateMs <= 0) return known.meanMs;
  return Math.sqrt(step.estimateMs * known.meanMs);
}

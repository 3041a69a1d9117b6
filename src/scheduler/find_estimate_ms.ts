import type { StepOrder } from "./step_order.ts";

/** Finds the caller's estimate of a task's run time, in ms; undefined if the caller gave none. */
export function findEstimateMs(
  { estimateMs }: StepOrder,
): number | undefined {
  return estimateMs > 0 ? estimateMs : undefined;
}

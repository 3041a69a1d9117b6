import type { StepOrder } from "./step_order.ts";

/** Reads the caller's estimate of a task's run time, in ms; undefined if the caller gave none. */
export function readEstimateMs(
  { estimateMs }: StepOrder,
): number | undefined {
  return estimateMs > 0 ? estimateMs : undefined;
}

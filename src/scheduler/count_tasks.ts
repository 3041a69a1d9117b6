import type { StepOrder } from "./step_order.ts";

/** Counts the tasks of all steps of a job order. */
export function countTasks(steps: StepOrder[]): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

import type { StepOrder } from "../scheduler/step_order.ts";

/**
 * Predicts the run time of the longest chain of steps, in ms, given each
 * step's own. Load it answers: any; the objective of a job follows from it.
 */
export function predictCriticalPathMs(
  steps: StepOrder[],
  predictStep: (step: StepOrder) => number,
): number {
  const ends: number[] = [];
  steps.forEach((step, index) => {
    const begin = Math.max(0, ...step.after.map((before) => ends[before] ?? 0));
    ends[index] = begin + predictStep(step);
  });
  return Math.max(0, ...ends);
}

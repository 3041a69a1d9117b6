import type { StepOrder } from "../scheduler/step_order.ts";

/**
 * Predicts the run time of a job's critical path in ms, that is of the longest
 * chain of steps that depend on each other. The latency objective of the job
 * is derived from it. `predictStep` returns the run time of one step, in ms.
 */
export function predictCriticalPathMs(
  steps: StepOrder[],
  predictStep: (step: StepOrder) => number,
): number {
  const endsMs: number[] = [];
  steps.forEach((step, index) => {
    const startMs = Math.max(
      0,
      ...step.after.map((earlier) => endsMs[earlier] ?? 0),
    );
    endsMs[index] = startMs + predictStep(step);
  });
  return Math.max(0, ...endsMs);
}

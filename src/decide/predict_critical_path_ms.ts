import type { StepOrder } from "../scheduler/step_order.ts";
import { ASSUMED_RUN_MS } from "./assumed_run_ms.ts";

/**
 * Predicts the run time of a job's critical path in ms, that is of the longest
 * chain of steps that depend on each other. The latency objective of the job
 * is derived from it. `runMs` has the expected run time of a task of each step,
 * in ms.
 */
export function predictCriticalPathMs(
  steps: StepOrder[],
  runMs: (number | undefined)[],
): number {
  const endsMs: number[] = [];
  steps.forEach((step, index) => {
    const startMs = Math.max(
      0,
      ...step.after.map((earlier) => endsMs[earlier] ?? 0),
    );
    endsMs[index] = startMs + (runMs[index] ?? ASSUMED_RUN_MS);
  });
  return Math.max(0, ...endsMs);
}

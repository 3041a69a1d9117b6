import type { RunPace } from "./run_pace.ts";

/** Creates the pace of a run that has not been listed yet; `expectedMs` is the run time expected at its endpoint. */
export function createRunPace(expectedMs: number): RunPace {
  return {
    expectedMs: Math.max(1, expectedMs),
    scale: 0,
    isReliable: false,
    recentScale: 0,
    anchor: { progress: 0, elapsedMs: 0 },
  };
}

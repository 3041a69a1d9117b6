import type { LateRunCause } from "./late_run_cause.ts";
import type { RunPace } from "./run_pace.ts";

/** A run whose recent scale exceeds its overall one by this factor has slowed down, which a long task does not. */
const SLOWDOWN_FACTOR = 2;
/** Highest ratio of the run times of like tasks. */
const MAX_LIKE_RATIO = 2.5;
/** A run that takes up to this many times as long as expected is as expected, since the callers' estimates are rough. */
const MAX_EXPECTED_SCALE = 1.5;

/**
 * Tells a long task, which would take as long anywhere, from a slow endpoint.
 * The tasks of a job are alike, so a run is long if those at other endpoints
 * take about as long. Otherwise the other runs at its endpoint decide: if they
 * are as fast as expected, the endpoint is sound. Without either the endpoint
 * counts as slow.
 */
export function classifyLateRun(
  run: Pick<RunPace, "scale" | "recentScale" | "isReliable"> & {
    progress: number;
  },
  others: {
    /** Scales of the runs of the same job at other endpoints. */
    siblingScales: number[];
    /** Whether further such runs have not been listed yet. */
    hasUnlistedSiblings: boolean;
    /** Recent scales of other jobs' runs at the same endpoint. */
    neighbourScales: number[];
  },
): LateRunCause {
  const { siblingScales, neighbourScales } = others;
  if (run.scale <= MAX_EXPECTED_SCALE) return "expected";
  if (run.progress === 0 && siblingScales.length === 0) return "slowEndpoint";
  if (run.progress > 0 && run.recentScale > SLOWDOWN_FACTOR * run.scale) {
    return "slowEndpoint";
  }
  if (isSimilar(siblingScales, run.scale)) {
    return run.isReliable ? "longTask" : "unknown";
  }
  if (isSimilar(neighbourScales, run.scale)) return "slowEndpoint";
  if (others.hasUnlistedSiblings) return "unknown";
  if (run.progress === 0) return "slowEndpoint";
  if (!run.isReliable) return "unknown";
  return neighbourScales.length === 0 ? "slowEndpoint" : "longTask";
}

/** Whether the median of the scales is closer to `scale` than to 1, on a logarithmic axis, and not much below it. */
function isSimilar(scales: number[], scale: number): boolean {
  if (scales.length === 0) return false;
  const sorted = scales.toSorted((one, other) => one - other);
  const median = sorted[Math.floor((sorted.length - 1) / 2)];
  return median >= Math.max(Math.sqrt(scale), scale / MAX_LIKE_RATIO);
}

import { predictRunEndMs } from "../decide/predict_run_end_ms.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { learnSlowness } from "./learn_slowness.ts";
import { findExpectedRunMs } from "./find_expected_run_ms.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** A run that is predicted to take this many times longer than expected shows that its endpoint is slow now. */
const SLOW_RUN_RATIO = 3;
/** Weight of a slow run in the endpoint's slowness; high, because a healthy endpoint hardly ever has a slow run. */
const SLOW_RUN_WEIGHT = 0.6;

/**
 * Records a run's progress and predicts its end from it. Raises the slowness of
 * the endpoint when the run is first found to be slow. A run of which no run
 * time was expected can't be slow, and its end is not predicted.
 */
export function recordProgress(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task: ScheduledTask; progress: number; nowMs: number },
): void {
  const { task, progress, nowMs } = run;
  // By the endpoint's clock, as this process may be late in reading the reply and the listing.
  const elapsedMs = Math.max(0, endpoint.clockMs - task.startedClockMs);
  const startedMs = nowMs - elapsedMs;
  const previousEndMs = task.expectedEndMs;
  task.progress = progress;
  const runMs = findExpectedRunMs(state, task);
  if (runMs === undefined) return;
  const expectedMs = runMs * endpoint.slowness;
  task.expectedEndMs = predictRunEndMs({
    progress,
    elapsedMs,
    expectedMs,
    nowMs,
  });
  const totalMs = task.expectedEndMs - startedMs;
  const isSlow = totalMs > SLOW_RUN_RATIO * expectedMs;
  if (
    !isSlow ||
    previousEndMs > startedMs + SLOW_RUN_RATIO * expectedMs
  ) return;
  learnSlowness(endpoint, {
    ratio: totalMs / runMs,
    weight: SLOW_RUN_WEIGHT,
  });
  recordEvent(state, "endpointSlow", {
    endpoint: endpoint.row.id,
    task: task.name,
    progress,
    elapsedMs: Math.round(elapsedMs),
    expectedMs: Math.round(expectedMs),
    slowness: Math.round(endpoint.slowness * 100) / 100,
  });
}

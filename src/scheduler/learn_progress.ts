import { predictRunEndMs } from "../decide/predict_run_end_ms.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** A run that will take this many times longer than expected shows that its endpoint is slow now. */
const SLOW_RATIO = 3;
/** Weight of such a run in the endpoint's slowness: a sound endpoint hardly ever shows one. */
const SLOW_WEIGHT = 0.6;

/** Learns from a run's progress when it will end, and whether its endpoint has turned slow. */
export function learnProgress(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task: ScheduledTask; progress: number; nowMs: number },
): void {
  const { task, progress, nowMs } = run;
  const elapsedMs = nowMs - task.confirmedMs;
  const wasExpectedMs = task.expectedEndMs;
  const expectedMs = task.job.criticalPathMs * endpoint.slowness;
  task.progress = progress;
  task.expectedEndMs = predictRunEndMs({
    progress,
    elapsedMs,
    expectedMs,
    nowMs,
  });
  const totalMs = task.expectedEndMs - task.confirmedMs;
  const isSlow = totalMs > SLOW_RATIO * expectedMs;
  if (!isSlow || wasExpectedMs > task.confirmedMs + SLOW_RATIO * expectedMs) {
    return;
  }
  const ratio = totalMs / task.job.criticalPathMs;
  endpoint.slowness = Math.exp(
    Math.log(endpoint.slowness) * (1 - SLOW_WEIGHT) +
      Math.log(ratio) * SLOW_WEIGHT,
  );
  recordEvent(state, "endpointSlow", {
    endpoint: endpoint.row.id,
    task: task.name,
    progress,
    elapsedMs: Math.round(elapsedMs),
    slowness: Math.round(endpoint.slowness * 100) / 100,
  });
}

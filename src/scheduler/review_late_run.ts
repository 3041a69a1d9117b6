import type { EndpointRecord } from "./endpoint_record.ts";
import { findLateRunCause } from "./find_late_run_cause.ts";
import { learnJobLength } from "./learn_job_length.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** A run that is predicted to take this many times longer than expected is reviewed. */
const SLOW_RUN_RATIO = 3;
/** Weight of a slow run in the endpoint's slowness; high, because a sound endpoint hardly ever has a slow run. */
const SLOW_RUN_WEIGHT = 0.6;

/** Finds why a run that was just listed takes much longer than expected: raises the slowness of a slow endpoint, once for each run, or the length of a long job. */
export function reviewLateRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task: ScheduledTask; nowMs: number },
): void {
  const { task, nowMs } = run;
  const { pace, job } = task;
  if (!pace || task.hasSlowEndpoint) return;
  const scale = pace.scale * job.predictedMs / job.criticalPathMs;
  if (scale <= SLOW_RUN_RATIO) return;
  const cause = findLateRunCause(endpoint, { task, nowMs });
  if (cause === "longTask") learnJobLength(state, task);
  if (cause !== "slowEndpoint") return;
  task.hasSlowEndpoint = true;
  // Relative to the job on an average endpoint, as `slowness` is.
  const ratio = pace.scale * pace.expectedMs / job.criticalPathMs;
  endpoint.slowness = Math.exp(
    Math.log(endpoint.slowness) * (1 - SLOW_RUN_WEIGHT) +
      Math.log(ratio) * SLOW_RUN_WEIGHT,
  );
  recordEvent(state, "endpointSlow", {
    endpoint: endpoint.row.id,
    task: task.name,
    progress: task.progress,
    elapsedMs: Math.round(endpoint.clockMs - task.startedClockMs),
    slowness: Math.round(endpoint.slowness * 100) / 100,
  });
}

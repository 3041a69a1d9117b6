import { predictRunEndMs } from "../decide/predict_run_end_ms.ts";
import { createRunPace } from "../placement/create_run_pace.ts";
import { updateRunPace } from "../placement/update_run_pace.ts";
import { computeRackFactor } from "./compute_rack_factor.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Records a run's progress and its pace, and predicts its end from it. */
export function recordProgress(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task: ScheduledTask; progress: number; nowMs: number },
): void {
  const { task, progress, nowMs } = run;
  const { job } = task;
  // By the endpoint's clock, as this process may be late in reading the reply and the listing.
  const elapsedMs = Math.max(0, endpoint.clockMs - task.startedClockMs);
  const slowness = endpoint.slowness * computeRackFactor(state, endpoint, task);
  task.progress = progress;
  task.expectedEndMs = predictRunEndMs({
    progress,
    elapsedMs,
    expectedMs: job.criticalPathMs * slowness,
    nowMs,
  });
  task.pace ??= createRunPace(job.predictedMs * slowness);
  updateRunPace(task.pace, { progress, elapsedMs });
}

import { changeTaskPhase } from "./change_task_phase.ts";
import { releaseBlockedTasks } from "./release_blocked_tasks.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Reopens a job that was abandoned or refused, because its caller has sent the
 * request again. Tasks whose stopped run is still at its endpoint start again
 * only after that run has ended.
 */
export function reopenJob(
  state: SchedulerState,
  job: ScheduledJob,
  from: { ageMs: number; nowMs: number },
): void {
  const delayMs = from.nowMs - from.ageMs - job.arrivedMs;
  job.arrivedMs += delayMs;
  job.objectiveMs += delayMs;
  job.uselessAfterMs += delayMs;
  job.outcome = undefined;
  // The VMs that were notified of the outcome no longer wait for the job.
  job.vms.clear();
  for (const task of job.tasks) {
    const { endpointId = "", name } = task;
    const hasRun = state.endpoints.get(endpointId)?.runs.get(name) === task;
    if (!hasRun) changeTaskPhase(state, task, "block");
  }
  job.waitingTaskCount = 0;
  releaseBlockedTasks(state, job);
}

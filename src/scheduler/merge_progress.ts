import { finishTask } from "./finish_task.ts";
import type { KnownProgress } from "./known_progress.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { holdTask } from "./hold_task.ts";

/**
 * Merges the progress that a VM made with a job in solo mode into this
 * scheduler's state of the job, which was still in memory. Tasks that the VM
 * completed are done; all others are held, as runs that the VM started may be
 * active.
 */
export function mergeProgress(
  state: SchedulerState,
  job: ScheduledJob,
  from: { progress: KnownProgress; nowMs: number },
): void {
  const { progress, nowMs } = from;
  const done = new Set(progress.done);
  const endpointIds = new Map(
    progress.placed.map(({ task, endpointId }) => [task, endpointId]),
  );
  job.mayHaveStarted = true;
  for (const task of job.tasks) {
    if (job.outcome) return;
    if (task.phase === "done") continue;
    if (done.has(task.name)) {
      stopOwnRun(state, task);
      finishTask(state, task, nowMs);
      continue;
    }
    holdTask(task, { nowMs, sinceMs: nowMs });
    task.endpointId ??= endpointIds.get(task.name);
  }
}

/** Stops the task's latest run if this scheduler still tracks it at an endpoint. */
function stopOwnRun(state: SchedulerState, task: ScheduledTask): void {
  const { endpointId, name, run } = task;
  if (endpointId === undefined) return;
  if (state.endpoints.get(endpointId)?.runs.get(name) !== task) return;
  state.effects.push({ type: "stopRun", endpointId, task: name, run });
}

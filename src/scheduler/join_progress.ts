import { finishTask } from "./finish_task.ts";
import type { KnownProgress } from "./known_progress.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { setUnaccounted } from "./set_unaccounted.ts";

/**
 * Takes in what a VM has done of a job that this scheduler has known all
 * along, while the VM served it alone: what it has finished is done, and any
 * other task may run where the VM had started it.
 */
export function joinProgress(
  state: SchedulerState,
  job: ScheduledJob,
  from: { progress: KnownProgress; nowMs: number },
): void {
  const { progress, nowMs } = from;
  const done = new Set(progress.done);
  const places = new Map(
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
    setUnaccounted(task, { nowMs, sinceMs: nowMs });
    task.endpointId ??= places.get(task.name);
  }
}

function stopOwnRun(state: SchedulerState, task: ScheduledTask): void {
  const { endpointId, name, run } = task;
  if (endpointId === undefined) return;
  if (state.endpoints.get(endpointId)?.runs.get(name) !== task) return;
  state.effects.push({ type: "stopRun", endpointId, task: name, run });
}

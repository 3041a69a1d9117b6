import { adoptRun } from "./adopt_run.ts";
import { changeTaskPhase } from "./change_task_phase.ts";
import type { KnownProgress } from "./known_progress.ts";
import { recordJobChange } from "./record_job_change.ts";
import { recordFailedRun } from "./record_failed_run.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { clearDoubtfulRun } from "./clear_doubtful_run.ts";
import { holdTask } from "./hold_task.ts";

/**
 * Adopts the tasks of a job that an earlier scheduler may have started. Tasks
 * known as done stay done, and runs that endpoints list are adopted. All
 * other tasks that may be running somewhere are held until every endpoint has
 * listed its runs.
 */
export function adoptTasks(
  state: SchedulerState,
  job: ScheduledJob,
  from: { progress: KnownProgress; nowMs: number },
): void {
  const { progress, nowMs } = from;
  const done = new Set(progress.done);
  // A solo VM may have started or stopped runs after the last listings, so only later listings count.
  const sinceMs = progress.wasSolo ? nowMs : 0;
  const endpointIds = new Map(
    progress.placed.map(({ task, endpointId }) => [task, endpointId]),
  );
  if (progress.isResubmitted || done.size > 0) job.mayHaveStarted = true;
  for (const task of job.tasks) {
    const isDone = applyUnmatchedEnds(state, task);
    if (done.has(task.name) || isDone) {
      changeTaskPhase(state, task, "finish");
      job.mayHaveStarted = true;
      job.hasKnownStart = true;
      continue;
    }
    const endpoint = findAdoptableRun(state, task.name, sinceMs);
    if (endpoint) {
      const foreignRun = endpoint.foreignRuns.get(task.name);
      endpoint.foreignRuns.delete(task.name);
      const run = foreignRun?.run ?? 0;
      job.hasKnownStart = true;
      adoptRun(state, endpoint, { task, run, from: "handIn", nowMs });
      continue;
    }
    const other = findForeignRun(state, task.name);
    if (other) {
      // The task is held: its foreign run counts as running until a later listing shows the run or its end.
      job.mayHaveStarted = true;
      holdTask(task, { nowMs, sinceMs: nowMs });
      task.endpointId = endpointIds.get(task.name) ?? other.row.id;
      continue;
    }
    if (!progress.isResubmitted) continue;
    // No endpoint lists a run of the task, but the earlier scheduler may have moved it to an endpoint that has not been listed.
    holdTask(task, { nowMs, sinceMs });
    task.endpointId = endpointIds.get(task.name);
  }
}

/** Applies the task's run ends that were listed before its job was submitted; returns whether the task is done. */
function applyUnmatchedEnds(
  state: SchedulerState,
  task: ScheduledTask,
): boolean {
  const ends = state.unmatchedRunEnds.get(task.name)?.ends ?? [];
  for (const { how, run, endId } of ends) {
    recordJobChange(state, task.job, endId);
    clearDoubtfulRun(state, task, run);
    if (how === "failed" && task.job.order.isKept) {
      recordFailedRun(state, task, { run, endpointId: endId.endpointId });
    }
  }
  return ends.some(({ how }) => how === "done");
}

/** Finds an endpoint with a foreign run of the task that can be adopted, as its listing was requested at or after `sinceMs`. */
function findAdoptableRun(
  state: SchedulerState,
  name: string,
  sinceMs: number,
) {
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.phase === "taken" || endpoint.listingRequestedMs < sinceMs) {
      continue;
    }
    const foreignRun = endpoint.foreignRuns.get(name);
    if (foreignRun && !foreignRun.isStopping) return endpoint;
  }
  return undefined;
}

/** Finds any endpoint that lists a foreign run of the task. */
function findForeignRun(state: SchedulerState, name: string) {
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.foreignRuns.has(name)) return endpoint;
  }
  return undefined;
}

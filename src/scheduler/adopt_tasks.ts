import { adoptRun } from "./adopt_run.ts";
import type { KnownProgress } from "./known_progress.ts";
import { recordChange } from "./record_change.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { setUnaccounted } from "./set_unaccounted.ts";

/**
 * Takes up a job that an earlier scheduler had begun: what is done stays done,
 * what endpoints list goes on, and what may run at an endpoint not heard of
 * yet waits until all have been.
 */
export function adoptTasks(
  state: SchedulerState,
  job: ScheduledJob,
  from: { progress: KnownProgress; nowMs: number },
): void {
  const { progress, nowMs } = from;
  const done = new Set(progress.done);
  // A VM that served alone went on deciding after an endpoint had answered us.
  const sinceMs = progress.wasSolo ? nowMs : 0;
  const places = new Map(
    progress.placed.map(({ task, endpointId }) => [task, endpointId]),
  );
  if (progress.isResubmitted || done.size > 0) job.mayHaveStarted = true;
  for (const task of job.tasks) {
    const isDone = adoptEnds(state, task);
    if (done.has(task.name) || isDone) {
      task.phase = "done";
      job.isStarted = true;
      job.openCount -= 1;
      continue;
    }
    const endpoint = findStrangerPlace(state, task.name, sinceMs);
    if (endpoint) {
      const stranger = endpoint.foreignRuns.get(task.name);
      endpoint.foreignRuns.delete(task.name);
      const run = stranger?.run ?? 0;
      job.isStarted = true;
      adoptRun(state, endpoint, { task, run, from: "handIn", nowMs });
      continue;
    }
    const other = findOtherPlace(state, task.name);
    if (other) {
      // Until it has ended, or is listed anew, the run is there.
      job.mayHaveStarted = true;
      setUnaccounted(task, { nowMs, sinceMs: nowMs });
      task.endpointId = places.get(task.name) ?? other.row.id;
      continue;
    }
    if (!progress.isResubmitted) continue;
    // Where the VM knew it last it does not run; the earlier scheduler may have moved it since.
    setUnaccounted(task, { nowMs, sinceMs });
    task.endpointId = places.get(task.name);
  }
}

/** Takes over the ends that were heard before the job; tells whether the task is done. */
function adoptEnds(state: SchedulerState, task: ScheduledTask): boolean {
  const ends = state.earlierEnds.get(task.name)?.ends ?? [];
  for (const { how, run, mark } of ends) {
    recordChange(state, task.job, mark);
    if (how === "done" || run <= task.failedRun) continue;
    if (!task.job.order.isKept) continue;
    task.failures += 1;
    task.failedRun = run;
  }
  return ends.some(({ how }) => how === "done");
}

/** Finds the endpoint whose listing, asked for since then, shows a run that goes on under this scheduler. */
function findStrangerPlace(
  state: SchedulerState,
  name: string,
  sinceMs: number,
) {
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.phase === "taken" || endpoint.listedMs < sinceMs) continue;
    const stranger = endpoint.foreignRuns.get(name);
    if (stranger && !stranger.isStopping) return endpoint;
  }
  return undefined;
}

function findOtherPlace(state: SchedulerState, name: string) {
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.foreignRuns.has(name)) return endpoint;
  }
  return undefined;
}

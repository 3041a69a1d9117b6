import { adoptRun } from "./adopt_run.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { findTask } from "./find_task.ts";
import { parseTaskName } from "./parse_task_name.ts";
import { recordEvent } from "./record_event.ts";
import { recordForeignLease } from "./record_foreign_lease.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Handles a listed run that is not the latest one of its task here: adopts it if its task waits for a run, or else records it as a foreign run. */
export function recordForeignRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  listed: {
    task: string;
    run: number;
    /** When the listing was requested, in ms. */
    sentMs: number;
    nowMs: number;
  },
): void {
  recordForeignLease(state, endpoint);
  const known = endpoint.foreignRuns.get(listed.task);
  const isKnown = known?.run === listed.run;
  const { run, nowMs } = listed;
  const task = findWaitingTask(state, listed.task);
  const hasOwnRun = endpoint.runs.has(listed.task);
  const isStopping = isKnown && known.isStopping;
  // If the listing was requested before the job was submitted, another scheduler may have superseded the run since.
  const isOutdated = task !== undefined &&
    listed.sentMs < task.listingsValidFromMs;
  if (!task || hasOwnRun || isStopping || isOutdated) {
    if (isKnown) return;
    recordSecondRun(state, endpoint, listed);
    endpoint.foreignRuns.set(listed.task, {
      run,
      firstListedMs: nowMs,
      isStopping: false,
    });
    return;
  }
  endpoint.foreignRuns.delete(listed.task);
  adoptRun(state, endpoint, { task, run, from: "listing", nowMs });
}

/** Logs a foreign run of a known task, which is a second run beside the one that this scheduler tracks. */
function recordSecondRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  listed: { task: string; run: number },
): void {
  const task = findTask(state, listed.task);
  if (!task) return;
  recordEvent(state, "secondRunListed", {
    task: listed.task,
    run: listed.run,
    endpoint: endpoint.row.id,
    token: endpoint.token,
    phase: task.phase,
    earlierRun: task.run,
  });
}

/** Finds a task of an open job that has no run here; undefined when there is none. */
function findWaitingTask(state: SchedulerState, name: string) {
  const parsed = parseTaskName(name);
  const job = parsed && state.jobs.get(parsed.jobId);
  if (!job || job.outcome) return undefined;
  return job.tasks.find((task) =>
    task.name === name &&
    (task.phase === "waiting" || task.phase === "blocked")
  );
}

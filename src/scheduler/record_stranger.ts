import { adoptRun } from "./adopt_run.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { findTask } from "./find_task.ts";
import { parseTaskName } from "./parse_task_name.ts";
import { recordEvent } from "./record_event.ts";
import { recordOthersLease } from "./record_others_lease.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Meets a run that this scheduler did not start: its job's task goes on with it, if it may. */
export function recordStranger(
  state: SchedulerState,
  endpoint: EndpointRecord,
  met: {
    task: string;
    run: number;
    /** When the listing was asked for, in ms. */
    sentMs: number;
    nowMs: number;
  },
): void {
  recordOthersLease(state, endpoint);
  const known = endpoint.foreignRuns.get(met.task);
  const isKnown = known?.run === met.run;
  const { run, nowMs } = met;
  const task = findWaitingTask(state, met.task);
  const hasOther = endpoint.runs.has(met.task);
  const isStopping = isKnown && known.isStopping;
  // A listing from before the job was handed in may show what another decided later.
  const isOld = task !== undefined && met.sentMs < task.unaccountedSinceMs;
  if (!task || hasOther || isStopping || isOld) {
    if (isKnown) return;
    recordSecondRun(state, endpoint, met);
    endpoint.foreignRuns.set(met.task, {
      run,
      seenMs: nowMs,
      isStopping: false,
    });
    return;
  }
  endpoint.foreignRuns.delete(met.task);
  if (task.phase === "waiting") task.job.waitingCount -= 1;
  adoptRun(state, endpoint, { task, run, from: "listing", nowMs });
}

/** A run of a known task beside the one that this scheduler goes by. */
function recordSecondRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  met: { task: string; run: number },
): void {
  const task = findTask(state, met.task);
  if (!task) return;
  recordEvent(state, "secondRunListed", {
    task: met.task,
    run: met.run,
    endpoint: endpoint.row.id,
    token: endpoint.token,
    phase: task.phase,
    earlierRun: task.run,
  });
}

function findWaitingTask(state: SchedulerState, name: string) {
  const parsed = parseTaskName(name);
  const job = parsed && state.jobs.get(parsed.jobId);
  if (!job || job.outcome) return undefined;
  return job.tasks.find((task) =>
    task.name === name &&
    (task.phase === "waiting" || task.phase === "blocked")
  );
}

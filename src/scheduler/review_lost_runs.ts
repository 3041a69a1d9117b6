import type { EndpointRecord } from "./endpoint_record.ts";
import { isWatched } from "./is_watched.ts";
import type { LostRun } from "./lost_run.ts";
import { recordEvent } from "./record_event.ts";
import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Reviews the runs that were lost at an endpoint which answers again: none of
 * them crashed it if the process is the same, and the endpoint has crashed if
 * the process is another one.
 */
export function reviewLostRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
): void {
  for (const task of state.suspects) {
    if (task.job.outcome) continue;
    for (const lost of [...task.lostRuns]) {
      if (lost.endpointId !== endpoint.row.id || lost.processStartMs === 0) {
        continue;
      }
      reviewLostRun(state, task, { lost, endpoint });
    }
    if (!isWatched(task)) state.suspects.delete(task);
  }
}

/** Counts the start of a stored job's run that goes on as doubtful. */
function countRunningStart(task: ScheduledTask): void {
  if (!task.job.order.isKept || task.isStartCounted) return;
  task.doubtfulRuns.push(task.run);
  task.isStartCounted = true;
}

function reviewLostRun(
  state: SchedulerState,
  task: ScheduledTask,
  at: { lost: LostRun; endpoint: EndpointRecord },
): void {
  const { lost, endpoint } = at;
  const hasCrashed = lost.processStartMs !== endpoint.processStartMs;
  if (hasCrashed && lost.isCrashProven) return;
  if (hasCrashed) {
    lost.hasCrashed = true;
    lost.isCrashProven = true;
  } else {
    task.lostRuns.splice(task.lostRuns.indexOf(lost), 1);
    // The run goes on, and may still crash the endpoint.
    if (endpoint.runs.get(task.name) === task) countRunningStart(task);
  }
  recordLossChange(state, task.job);
  recordEvent(state, "lossSettled", {
    task: task.name,
    endpoint: endpoint.row.id,
    hasCrashed,
    losses: task.lostRuns.length,
  });
}

import { endJob } from "./end_job.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { findTask } from "./find_task.ts";
import { finishTask } from "./finish_task.ts";
import { canHaveStoredJobs } from "./can_have_stored_jobs.ts";
import { isKeptRun } from "./is_kept_run.ts";
import { recordChange } from "./record_change.ts";
import type { RunEnd } from "./run_end.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** How long an endpoint goes on listing an end of a job not heard of, in ms: a stored job is heard of sooner. */
const UNKNOWN_MS = 2_000;

/** Added to a lease's end before it is taken as over, in ms. */
const LAPSE_MARGIN_MS = 100;

/** Takes note of the end of a run that is not the latest of a known task. */
export function applyEarlierEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  heard: { end: RunEnd; nowMs: number },
): void {
  const { end, nowMs } = heard;
  if (end.how !== "done" && end.how !== "failed") return;
  const mark = {
    endpointId: endpoint.row.id,
    processStartMs: endpoint.processStartMs,
    number: end.number,
  };
  const task = findTask(state, end.task);
  if (task?.job.order.isKept) {
    if (!task.job.outcome) applyKeptEnd(state, task, { ...heard, mark });
    return;
  }
  const known = state.earlierEnds.get(end.task);
  const ends = [...known?.ends ?? [], { how: end.how, run: end.run, mark }];
  state.earlierEnds.set(end.task, { ends, heardMs: nowMs });
  if (task || !isKeptRun(end.run) || !canHaveStoredJobs(state)) return;
  if (state.isSolo) passToScheduler(state, endpoint, end);
  else endpoint.unacknowledgedEnds.set(end.number, nowMs + UNKNOWN_MS);
}

/** Another scheduler starts the task again if it can't hear the end, so the end must not count: it does not once the lease has ended. */
function passToScheduler(
  state: SchedulerState,
  endpoint: EndpointRecord,
  end: RunEnd,
): void {
  endpoint.unacknowledgedEnds.set(end.number, Infinity);
  const granted = endpoint.clockMs + state.limits.leaseMs;
  const leaseEndMs = Math.max(endpoint.leaseEndMs, granted);
  endpoint.lapseByClockMs = leaseEndMs + LAPSE_MARGIN_MS;
}

/** A stored job's task never runs again once it was done, and its failures count under whichever scheduler. */
function applyKeptEnd(
  state: SchedulerState,
  task: ScheduledTask,
  heard: { end: RunEnd; mark: RunEndId; nowMs: number },
): void {
  const { end, mark, nowMs } = heard;
  if (task.phase === "done") return;
  recordChange(state, task.job, mark);
  if (end.how === "done") {
    if (task.endpointId !== undefined) {
      const { endpointId, name, run } = task;
      state.effects.push({ type: "stopRun", endpointId, task: name, run });
    }
    finishTask(state, task, nowMs);
    return;
  }
  if (end.run <= task.failedRun) return;
  task.failures += 1;
  task.failedRun = end.run;
  if (task.failures < task.job.order.maxAttempts) return;
  endJob(state, task.job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs,
  });
}

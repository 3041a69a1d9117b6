import { endJob } from "./end_job.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { findJob } from "./find_job.ts";
import { findTask } from "./find_task.ts";
import { finishTask } from "./finish_task.ts";
import { canHaveStoredJobs } from "./can_have_stored_jobs.ts";
import { hasUsedAttempts } from "./has_used_attempts.ts";
import { isStoredJobRun } from "./is_stored_job_run.ts";
import { recordFailedRun } from "./record_failed_run.ts";
import { recordJobChange } from "./record_job_change.ts";
import type { RunEnd } from "./run_end.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { clearDoubtfulRun } from "./clear_doubtful_run.ts";

/** How long an endpoint goes on listing a run end of an unknown job, in ms. A stored job is read from the store sooner than this. */
const UNKNOWN_JOB_END_MS = 2_000;

/** Margin after the end of a lease before it counts as expired, in ms. */
const LEASE_EXPIRY_MARGIN_MS = 100;

/**
 * Applies a run end that does not belong to the latest run of a known task:
 * the job is unknown, or another scheduler started the run.
 */
export function applyUnmatchedRunEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  received: { end: RunEnd; nowMs: number },
): void {
  const { end, nowMs } = received;
  const isResult = end.how === "done" || end.how === "failed";
  // Any end of a stored job's run shows that its start has not crashed the endpoint. A solo VM knows none of these jobs.
  if (!isResult && (state.isSolo || !isStoredJobRun(end.run))) return;
  const endId = {
    endpointId: endpoint.row.id,
    processStartMs: endpoint.processStartMs,
    number: end.number,
  };
  const job = findJob(state, end.task);
  if (job?.order.isKept) {
    const task = findTask(state, end.task);
    if (task && !job.outcome) {
      applyStoredJobEnd(state, task, { ...received, endId });
    }
    return;
  }
  const known = state.unmatchedRunEnds.get(end.task);
  const ends = [...known?.ends ?? [], { how: end.how, run: end.run, endId }];
  state.unmatchedRunEnds.set(end.task, { ends, receivedMs: nowMs });
  if (job || !isStoredJobRun(end.run) || !canHaveStoredJobs(state)) return;
  if (state.isSolo) leaveEndToScheduler(state, endpoint, end);
  else endpoint.unacknowledgedEnds.set(end.number, nowMs + UNKNOWN_JOB_END_MS);
}

/**
 * Leaves a run end of an unknown stored job to the scheduler of that job: the
 * endpoint goes on listing the end, and its lease is no longer extended. If
 * that scheduler cannot reach the endpoint, it starts the task again once the
 * lease has expired. Run ends from before the expiry of a lease do not count
 * after it.
 */
function leaveEndToScheduler(
  state: SchedulerState,
  endpoint: EndpointRecord,
  end: RunEnd,
): void {
  endpoint.unacknowledgedEnds.set(end.number, Infinity);
  const fullLeaseEndMs = endpoint.clockMs + state.limits.leaseMs;
  const leaseEndMs = Math.max(endpoint.leaseEndMs, fullLeaseEndMs);
  endpoint.leaseExpiryClockMs = leaseEndMs + LEASE_EXPIRY_MARGIN_MS;
}

/** Applies a run end of a stored job whichever scheduler started the run: a task that is done never runs again, and every failure counts. */
function applyStoredJobEnd(
  state: SchedulerState,
  task: ScheduledTask,
  received: { end: RunEnd; endId: RunEndId; nowMs: number },
): void {
  const { end, endId, nowMs } = received;
  if (task.phase === "done") return;
  const isSettled = clearDoubtfulRun(state, task, end.run);
  const isResult = end.how === "done" || end.how === "failed";
  if (!isResult && !isSettled) return;
  recordJobChange(state, task.job, endId);
  if (!isResult) return;
  if (end.how === "done") {
    if (task.endpointId !== undefined) {
      const { endpointId, name, run } = task;
      state.effects.push({ type: "stopRun", endpointId, task: name, run });
    }
    finishTask(state, task, nowMs);
    return;
  }
  const { endpointId } = endId;
  recordFailedRun(state, task, { run: end.run, endpointId });
  if (!hasUsedAttempts(task)) return;
  endJob(state, task.job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs,
  });
}

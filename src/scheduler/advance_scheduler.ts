import type { EndpointRecord } from "./endpoint_record.ts";
import { endJob } from "./end_job.ts";
import { forgetRuns } from "./forget_runs.ts";
import { replaceStragglers } from "./replace_stragglers.ts";
import { computeOrphanGrace } from "./compute_orphan_grace.ts";
import { computeLeastClock } from "./compute_least_clock.ts";
import { lapseLeases } from "./lapse_leases.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import { reviewUnaccounted } from "./review_unaccounted.ts";
import { reviewWaiting } from "./review_waiting.ts";
import { tryPassJob } from "./try_pass_job.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** How long an ended job is remembered for callers that ask again, in ms. */
const REMEMBER_MS = 10_000;
/** Runs of an earlier scheduler that nobody asks for are stopped after this, in ms: VMs hand their jobs in again much sooner. */
const STRANGER_MS = 400;
/** The same for a VM that serves alone: those runs are another scheduler's, which goes on elsewhere. */
const SOLO_STRANGER_MS = 0;
/** Added to a lease's end before its runs are taken as over, in ms. */
const LAPSE_MARGIN_MS = 100;

/** Does what is due by time alone. */
export function advanceScheduler(state: SchedulerState, nowMs: number): void {
  for (const endpoint of state.endpoints.values()) {
    clearStoppedRuns(state, endpoint, nowMs);
    lapseRuns(state, endpoint, nowMs);
    stopStrangers(state, endpoint, nowMs);
  }
  endJobs(state, nowMs);
  replaceStragglers(state, nowMs);
  lapseLeases(state, nowMs);
  reviewUnaccounted(state, nowMs);
  reviewWaiting(state, nowMs);
  placeTasks(state, nowMs);
  passWaiting(state, nowMs);
}

/** Passes on what other groups have room for by now. */
function passWaiting(state: SchedulerState, nowMs: number): void {
  if (state.otherGroupRooms.length === 0) return;
  for (const job of [...state.waiting]) tryPassJob(state, job, nowMs);
}

function clearStoppedRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  for (const task of [...endpoint.runs.values()]) {
    if (task.clearMs === 0 || task.clearMs > nowMs) continue;
    if (task.job.order.isKept && !isEndListed(endpoint, task)) continue;
    dropRun(endpoint, task);
    retryTask(state, task, { reason: "stopped", endpoint, nowMs });
  }
}

/** Whether an end of the run before its stop took effect would have been listed; a stored job's task that was done must not run again. */
function isEndListed(endpoint: EndpointRecord, task: ScheduledTask): boolean {
  return endpoint.phase === "usable" && endpoint.listedMs > task.clearMs;
}

function lapseRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  if (endpoint.phase !== "silent" && endpoint.phase !== "taken") return;
  if (endpoint.runs.size === 0 && endpoint.foreignRuns.size === 0) return;
  if (
    computeLeastClock(endpoint, nowMs) < endpoint.leaseEndMs + LAPSE_MARGIN_MS
  ) return;
  recordEvent(state, "endpointLapsed", {
    endpoint: endpoint.row.id,
    runs: endpoint.runs.size,
    silentMs: Math.round(nowMs - endpoint.heardMs),
  });
  forgetRuns(state, endpoint, { reason: "lapsed", nowMs });
}

function stopStrangers(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  // Until the stored jobs have been read, their runs are nobody's.
  if (!state.areStoredJobsRead) return;
  const graceMs = state.isSolo ? SOLO_STRANGER_MS : STRANGER_MS;
  for (const [task, stranger] of endpoint.foreignRuns) {
    if (stranger.isStopping || nowMs - stranger.seenMs < graceMs) continue;
    stranger.isStopping = true;
    const { run } = stranger;
    const endpointId = endpoint.row.id;
    state.effects.push({ type: "stopRun", endpointId, task, run });
    recordEvent(state, "strangerStopped", { task, run, endpoint: endpointId });
  }
}

/** Whether the time is over in which the callers of a lost VM may come back. */
function isGivenUp(
  state: SchedulerState,
  { orphanedMs, orphanedBy = "silent" }: ScheduledJob,
  nowMs: number,
): boolean {
  if (orphanedMs === undefined) return false;
  return nowMs >=
    orphanedMs + computeOrphanGrace(state, { how: orphanedBy, nowMs });
}

function endJobs(state: SchedulerState, nowMs: number): void {
  for (const job of state.jobs.values()) {
    if (job.outcome) {
      if (nowMs - job.endedMs <= REMEMBER_MS || state.unsaved.has(job)) {
        continue;
      }
      state.jobs.delete(job.order.id);
    } else if (isGivenUp(state, job, nowMs)) {
      endJob(state, job, {
        outcome: { type: "failed", reason: "abandoned" },
        nowMs,
      });
    }
  }
  for (const [task, { heardMs }] of state.earlierEnds) {
    if (nowMs - heardMs > REMEMBER_MS) state.earlierEnds.delete(task);
  }
  for (const [id, { passedMs }] of state.passed) {
    // In the order in which they were passed.
    if (nowMs - passedMs <= REMEMBER_MS) break;
    state.passed.delete(id);
  }
}

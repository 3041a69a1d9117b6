import { recordEmptiedDataCentres } from "../evacuation/record_emptied_data_centres.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { endCrashingJobs } from "./end_crashing_jobs.ts";
import { endJob } from "./end_job.ts";
import { dropJob } from "./drop_job.ts";
import { dropRuns } from "./drop_runs.ts";
import { stopStragglers } from "./stop_stragglers.ts";
import { canEvictJob } from "./can_evict_job.ts";
import { confirmCrashes } from "./confirm_crashes.ts";
import { computeGracePeriod } from "./compute_grace_period.ts";
import { computeMinClock } from "./compute_min_clock.ts";
import { expireLeases } from "./expire_leases.ts";
import { hasHiddenEnds } from "./has_hidden_ends.ts";
import { hasUnreadStoredJobs } from "./has_unread_stored_jobs.ts";
import { isStoredJobRun } from "./is_stored_job_run.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import { requestCountedStarts } from "./request_counted_starts.ts";
import { releaseIsolation } from "./release_isolation.ts";
import { releaseHeldTasks } from "./release_held_tasks.ts";
import { endUnservableJobs } from "./end_unservable_jobs.ts";
import { tryPassJob } from "./try_pass_job.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** How long a passed job and an unmatched run end stay in memory, in ms. */
const RETENTION_MS = 10_000;
/** Interval at which ended jobs are checked for eviction, in ms. */
const EVICTION_INTERVAL_MS = 500;
/** Time after which foreign runs are stopped if no VM has resubmitted their jobs, in ms. After a takeover VMs resubmit much sooner. */
const FOREIGN_RUN_GRACE_MS = 400;
/** Time after which a solo VM stops foreign runs, in ms: none, because these runs belong to another scheduler, which is still active. */
const SOLO_FOREIGN_RUN_GRACE_MS = 0;
/** Margin after the end of an endpoint's lease before its runs count as ended, in ms. */
const LEASE_EXPIRY_MARGIN_MS = 100;

/** Carries out everything that is due at `nowMs`, such as expired leases, orphaned jobs and stragglers, and places waiting tasks. */
export function advanceScheduler(state: SchedulerState, nowMs: number): void {
  for (const endpoint of state.endpoints.values()) {
    clearStoppedRuns(state, endpoint, nowMs);
    dropExpiredRuns(state, endpoint, nowMs);
    stopForeignRuns(state, endpoint, nowMs);
    releaseIsolation(state, endpoint);
  }
  requestCountedStarts(state, nowMs);
  confirmCrashes(state, nowMs);
  endCrashingJobs(state, nowMs);
  endAbandonedJobs(state, nowMs);
  evictJobs(state, nowMs);
  stopStragglers(state, nowMs);
  expireLeases(state, nowMs);
  releaseHeldTasks(state, nowMs);
  endUnservableJobs(state, nowMs);
  placeTasks(state, nowMs);
  passWaitingJobs(state, nowMs);
  recordEmptiedDataCentres(state, nowMs);
}

/** Passes waiting jobs to other groups that have free capacity for them by now. */
function passWaitingJobs(state: SchedulerState, nowMs: number): void {
  if (state.otherGroupCapacities.length === 0) return;
  for (const job of [...state.waiting]) tryPassJob(state, job, nowMs);
}

/** Drops runs whose confirmed stop has taken effect and requeues their tasks. */
function clearStoppedRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  for (const task of [...endpoint.runs.values()]) {
    if (task.stoppedByMs === 0 || task.stoppedByMs > nowMs) continue;
    if (task.job.order.isKept && !isEndListed(state, endpoint, task)) continue;
    dropRun(endpoint, task);
    retryTask(state, task, { reason: "stopped", endpoint, nowMs });
  }
}

/**
 * Whether the latest listing would show how the run ended. A task of a stored
 * job must not run again if it was done before the stop took effect, so its
 * end has to be ruled out first.
 */
function isEndListed(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): boolean {
  return endpoint.phase === "usable" && !hasHiddenEnds(state, endpoint) &&
    endpoint.listingRequestedMs > task.stoppedByMs;
}

/** Drops the runs of an unresponsive or taken over endpoint once its lease has expired. */
function dropExpiredRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  if (endpoint.phase !== "silent" && endpoint.phase !== "taken") return;
  const hasRuns = endpoint.runs.size > 0 || endpoint.foreignRuns.size > 0;
  if (!hasRuns && !hasHiddenEnds(state, endpoint)) return;
  if (
    computeMinClock(endpoint, nowMs) <
      endpoint.leaseEndMs + LEASE_EXPIRY_MARGIN_MS
  ) return;
  recordEvent(state, "endpointLapsed", {
    endpoint: endpoint.row.id,
    runs: endpoint.runs.size,
    silentMs: Math.round(nowMs - endpoint.lastReplyMs),
  });
  dropRuns(state, endpoint, { reason: "lapsed", nowMs });
  // Run ends from before the expiry of a lease do not count after it.
  endpoint.listedEndCount = 0;
}

/** Stops foreign runs whose jobs were not submitted within the grace period. */
function stopForeignRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  nowMs: number,
): void {
  // Before the stored jobs have been read, a foreign run may belong to one of them.
  if (!state.areStoredJobsRead) return;
  const hasUnreadJobs = hasUnreadStoredJobs(state);
  const graceMs = state.isSolo
    ? SOLO_FOREIGN_RUN_GRACE_MS
    : FOREIGN_RUN_GRACE_MS;
  for (const [task, foreignRun] of endpoint.foreignRuns) {
    if (foreignRun.isStopping || nowMs - foreignRun.firstListedMs < graceMs) {
      continue;
    }
    if (hasUnreadJobs && isStoredJobRun(foreignRun.run)) continue;
    foreignRun.isStopping = true;
    const { run } = foreignRun;
    const endpointId = endpoint.row.id;
    state.effects.push({ type: "stopRun", endpointId, task, run });
    recordEvent(state, "strangerStopped", { task, run, endpoint: endpointId });
  }
}

/** Whether the grace period of an orphaned job is over. */
function isAbandoned(
  state: SchedulerState,
  { orphanedMs, orphanCause = "silent" }: ScheduledJob,
  nowMs: number,
): boolean {
  if (orphanedMs === undefined) return false;
  return nowMs >=
    orphanedMs + computeGracePeriod(state, { how: orphanCause, nowMs });
}

/** Evicts unmatched run ends after the retention period, but not those that may belong to a stored job before the stored jobs have been read. */
function evictUnmatchedRunEnds(state: SchedulerState, nowMs: number): void {
  for (const [task, { ends, receivedMs }] of state.unmatchedRunEnds) {
    if (nowMs - receivedMs <= RETENTION_MS) continue;
    const isNeeded = hasUnreadStoredJobs(state) &&
      ends.some(({ run }) => isStoredJobRun(run));
    if (!isNeeded) state.unmatchedRunEnds.delete(task);
  }
}

/** Ends orphaned jobs after their grace period. */
function endAbandonedJobs(state: SchedulerState, nowMs: number): void {
  for (const job of state.orphans) {
    if (isAbandoned(state, job, nowMs)) {
      endJob(state, job, {
        outcome: { type: "failed", reason: "abandoned" },
        nowMs,
      });
    }
    if (job.outcome || job.orphanedMs === undefined) state.orphans.delete(job);
  }
}

/** Evicts ended jobs, passed jobs and unmatched run ends after the retention period. */
function evictJobs(state: SchedulerState, nowMs: number): void {
  // Under load there are far more ended jobs than open ones.
  if (nowMs < state.nextEvictionMs) return;
  state.nextEvictionMs = nowMs + EVICTION_INTERVAL_MS;
  for (const job of state.jobs.values()) {
    if (!job.outcome || !canEvictJob(state, job, nowMs)) continue;
    dropJob(state, job);
  }
  evictUnmatchedRunEnds(state, nowMs);
  for (const [id, { passedMs }] of state.passedJobs) {
    // The map is in the order in which jobs were passed, so all further ones are newer.
    if (nowMs - passedMs <= RETENTION_MS) break;
    state.passedJobs.delete(id);
  }
}

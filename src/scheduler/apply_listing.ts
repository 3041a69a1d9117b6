import { applyUnmatchedRunEnd } from "./apply_unmatched_run_end.ts";
import { changeTaskPhase } from "./change_task_phase.ts";
import { confirmStart } from "./confirm_start.ts";
import type { EndpointListing } from "./endpoint_listing.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { endRun } from "./end_run.ts";
import { dropRuns } from "./drop_runs.ts";
import { hasHiddenEnds } from "./has_hidden_ends.ts";
import { recordClock } from "./record_clock.ts";
import { recordForeignLease } from "./record_foreign_lease.ts";
import { recordForeignRun } from "./record_foreign_run.ts";
import { recordKnownStart } from "./record_known_start.ts";
import { recordProgress } from "./record_progress.ts";
import { recordLostRuns } from "./record_lost_runs.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import { reviewLostRuns } from "./review_lost_runs.ts";
import type { RunEnd } from "./run_end.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Applies a listing of an endpoint: the runs that are active there and the run ends. Ignores an unknown endpoint. */
export function applyListing(
  state: SchedulerState,
  endpointId: string,
  listing: EndpointListing,
): void {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  const nowMs = listing.receivedMs;
  if (
    endpoint.processStartMs !== 0 &&
    endpoint.processStartMs !== listing.processStartMs
  ) {
    recordEvent(state, "endpointReborn", { endpoint: endpointId });
    recordLostRuns(state, endpoint, {
      cause: "restarted",
      nowMs,
      sentBeforeMs: listing.sentMs,
    });
    // A start request that was in flight may have been carried out by the new process, so only runs confirmed before are dropped.
    dropRuns(state, endpoint, {
      reason: "endpointReborn",
      nowMs,
      confirmedBeforeMs: listing.sentMs,
    });
    endpoint.lastEndNumber = 0;
    // The clock of the new process starts again, and a request in flight may still grant it a full lease.
    endpoint.leaseEndMs = listing.clockMs + state.limits.leaseMs;
    endpoint.unacknowledgedEnds.clear();
    endpoint.leaseExpiryClockMs = 0;
  }
  const isBack = endpoint.phase !== "usable" ||
    endpoint.processStartMs !== listing.processStartMs;
  endpoint.processStartMs = listing.processStartMs;
  if (isBack) reviewLostRuns(state, endpoint);
  endpoint.listingRequestedMs = listing.sentMs;
  recordEndCount(state, endpoint, listing);
  recordClock(endpoint, { clockMs: listing.clockMs, nowMs });
  if (endpoint.phase !== "usable") recordForeignLease(state, endpoint);
  if (endpoint.phase === "taken" && !hasHiddenEnds(state, endpoint)) {
    dropRuns(state, endpoint, { reason: "taken", nowMs });
  }
  for (const end of listing.ended) applyEnd(state, endpoint, { end, nowMs });
  applyRunning(state, endpoint, listing);
  if (endpoint.phase !== "usable") {
    const wasPhase = endpoint.phase;
    endpoint.phase = "usable";
    recordEvent(state, "endpointListed", {
      endpoint: endpointId,
      wasPhase,
      running: listing.running.length,
    });
  }
  placeTasks(state, nowMs);
}

/** Records how many run ends the endpoint listed, and logs when later ones may be hidden from now on. */
function recordEndCount(
  state: SchedulerState,
  endpoint: EndpointRecord,
  listing: EndpointListing,
): void {
  const wereHidden = hasHiddenEnds(state, endpoint);
  endpoint.listedEndCount = listing.ended.length;
  if (wereHidden || !hasHiddenEnds(state, endpoint)) return;
  recordEvent(state, "endpointListFull", {
    endpoint: endpoint.row.id,
    running: listing.running.length,
    listedEnds: endpoint.listedEndCount,
  });
}

/** Applies a run end that has not been applied before. */
function applyEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  options: { end: RunEnd; nowMs: number },
): void {
  const { end, nowMs } = options;
  if (end.number <= endpoint.lastEndNumber) return;
  endpoint.lastEndNumber = end.number;
  const task = endpoint.runs.get(end.task);
  if (task && task.run === end.run) {
    const { number, how } = end;
    const { processStartMs } = endpoint;
    const endId = { endpointId: endpoint.row.id, processStartMs, number };
    endRun(state, endpoint, { task, how, endId, nowMs });
    return;
  }
  if (endpoint.foreignRuns.get(end.task)?.run === end.run) {
    endpoint.foreignRuns.delete(end.task);
  }
  applyUnmatchedRunEnd(state, endpoint, { end, nowMs });
}

/** Applies the active runs of a listing, and drops runs and foreign runs that the listing lacks unless it may hide their ends. */
function applyRunning(
  state: SchedulerState,
  endpoint: EndpointRecord,
  listing: EndpointListing,
): void {
  const { sentMs, receivedMs: nowMs } = listing;
  const listed = new Map(listing.running.map(({ task, run }) => [task, run]));
  for (const { task: name, run, progress } of listing.running) {
    const task = endpoint.runs.get(name);
    if (!task || task.run !== run) {
      recordForeignRun(state, endpoint, { task: name, run, sentMs, nowMs });
      continue;
    }
    confirmStart(endpoint, task, { nowMs });
    recordKnownStart(state, task.job);
    recordProgress(state, endpoint, { task, progress, nowMs });
    changeTaskPhase(state, task, "confirm");
  }
  if (hasHiddenEnds(state, endpoint)) return;
  for (const task of [...endpoint.runs.values()]) {
    const isMissing = task.startConfirmedMs > 0 &&
      task.startConfirmedMs < listing.sentMs &&
      listed.get(task.name) !== task.run;
    if (!isMissing) continue;
    dropRun(endpoint, task);
    retryTask(state, task, { reason: "missing", endpoint, nowMs });
  }
  for (const name of endpoint.foreignRuns.keys()) {
    if (!listed.has(name)) endpoint.foreignRuns.delete(name);
  }
}

import { applyEarlierEnd } from "./apply_earlier_end.ts";
import type { EndpointListing } from "./endpoint_listing.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { endRun } from "./end_run.ts";
import { forgetRuns } from "./forget_runs.ts";
import { recordClock } from "./record_clock.ts";
import { recordOthersLease } from "./record_others_lease.ts";
import { recordStranger } from "./record_stranger.ts";
import { learnProgress } from "./learn_progress.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { RunEnd } from "./run_end.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes over what an endpoint says it runs and what has ended there. */
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
    // A start that was on its way may have been carried out by the new process.
    forgetRuns(state, endpoint, {
      reason: "endpointReborn",
      nowMs,
      confirmedBeforeMs: listing.sentMs,
    });
    endpoint.lastEnd = 0;
    // Its clock began anew; an order on its way may still give it a whole lease.
    endpoint.leaseEndMs = listing.clockMs + state.limits.leaseMs;
    endpoint.unacknowledgedEnds.clear();
    endpoint.lapseByClockMs = 0;
  }
  endpoint.processStartMs = listing.processStartMs;
  endpoint.listedMs = listing.sentMs;
  recordClock(endpoint, { clockMs: listing.clockMs, nowMs });
  if (endpoint.phase !== "usable") recordOthersLease(state, endpoint);
  if (endpoint.phase === "taken") {
    forgetRuns(state, endpoint, { reason: "taken", nowMs });
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

function applyEnd(
  state: SchedulerState,
  endpoint: EndpointRecord,
  options: { end: RunEnd; nowMs: number },
): void {
  const { end, nowMs } = options;
  if (end.number <= endpoint.lastEnd) return;
  endpoint.lastEnd = end.number;
  const task = endpoint.runs.get(end.task);
  if (task && task.run === end.run) {
    const { number, how } = end;
    const { processStartMs } = endpoint;
    const mark = { endpointId: endpoint.row.id, processStartMs, number };
    endRun(state, endpoint, { task, how, mark, nowMs });
    return;
  }
  if (endpoint.foreignRuns.get(end.task)?.run === end.run) {
    endpoint.foreignRuns.delete(end.task);
  }
  applyEarlierEnd(state, endpoint, { end, nowMs });
}

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
      recordStranger(state, endpoint, { task: name, run, sentMs, nowMs });
      continue;
    }
    if (task.confirmedMs === 0) task.confirmedMs = nowMs;
    learnProgress(state, endpoint, { task, progress, nowMs });
    if (task.phase !== "starting" && task.phase !== "unsure") continue;
    task.phase = "running";
  }
  for (const task of [...endpoint.runs.values()]) {
    const isMissing = task.confirmedMs > 0 &&
      task.confirmedMs < listing.sentMs && listed.get(task.name) !== task.run;
    if (!isMissing) continue;
    dropRun(endpoint, task);
    retryTask(state, task, { reason: "missing", endpoint, nowMs });
  }
  for (const name of endpoint.foreignRuns.keys()) {
    if (!listed.has(name)) endpoint.foreignRuns.delete(name);
  }
}

import { canFitAlone } from "./can_fit_alone.ts";
import { canHostTask } from "./can_host_task.ts";
import { canRestart } from "./can_restart.ts";
import { chooseEndpointToIsolate } from "./choose_endpoint_to_isolate.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { findSuspectGroup } from "./find_suspect_group.ts";
import { hasForeignRun } from "./has_foreign_run.ts";
import { indexIsolatedEndpoints } from "./index_isolated_endpoints.ts";
import { isSuspect } from "./is_suspect.ts";
import { isWanted } from "./is_wanted.ts";
import type { IsolatedEndpoints } from "./isolated_endpoints.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { startTask } from "./start_task.ts";

/** Largest part of a service's usable endpoints that are emptied for suspects at a time; at least one endpoint. */
const MAX_EMPTIED_PART = 0.1;
/** Largest part of a service's endpoints that suspects have or that do not answer, if the next suspect gets an idle one; the rest carries the load of the idle ones. */
const MAX_IDLE_PART = 0.5;

/**
 * Starts the suspects, each at an endpoint that runs nothing else, so that a
 * crash proves the cause and takes no other run along. Of many tasks that were
 * lost together, some start beside each other. Where no endpoint is idle, one
 * is kept free of new runs until its runs have ended. A job's suspects have one
 * endpoint at a time, and all suspects together a part of the endpoints: a
 * small one while the service is busy.
 */
export function placeSuspects(state: SchedulerState, nowMs: number): void {
  if (state.suspects.size === 0) return;
  const ready = [...state.suspects]
    .filter((task) => isReady(state, task, nowMs))
    // The run that was started last before a crash is its likeliest cause.
    .sort((one, other) => readLastAge(other) - readLastAge(one));
  if (ready.length === 0) return;
  const isolated = indexIsolatedEndpoints(state);
  for (const task of ready) {
    const endpoint = findSuspectGroup(state, task, { isolated, nowMs }) ??
      findEmptyEndpoint(state, task, { isolated, nowMs });
    if (!endpoint || hasForeignRun(state, task)) continue;
    isolated.byJob.set(task.job, endpoint);
    startTask(state, endpoint, { task, nowMs });
  }
}

function readLastAge({ lostRuns }: ScheduledTask): number {
  return lostRuns[lostRuns.length - 1]?.ageMs ?? 0;
}

function isReady(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): boolean {
  const { job, phase, heldUntilMs } = task;
  if (phase !== "waiting" || heldUntilMs > 0 || job.outcome) return false;
  if (!isSuspect(task) || !canRestart(task)) return false;
  if (!isWanted(job)) return false;
  if (!job.order.isKept) return true;
  // A later scheduler has to know of the losses before the next start.
  return job.savedLossChanges === job.lossChanges &&
    nowMs <= state.roleExclusiveUntilMs;
}

/** Finds the endpoint that is kept for the task, or takes one, if it runs nothing and can start the task now. */
function findEmptyEndpoint(
  state: SchedulerState,
  task: ScheduledTask,
  at: { isolated: IsolatedEndpoints; nowMs: number },
): EndpointRecord | undefined {
  const { isolated, nowMs } = at;
  const endpoint = isolated.byTask.get(task) ?? takeEndpoint(state, task, at);
  if (!endpoint || endpoint.runs.size > 0) return undefined;
  if (!canFitAlone(endpoint, task)) return undefined;
  return canHostTask(state, endpoint, { task, nowMs }) ? endpoint : undefined;
}

/** Takes the endpoint that is kept for the task from now on; undefined if no further suspect may have one, or another of the job's tasks has one. */
function takeEndpoint(
  state: SchedulerState,
  task: ScheduledTask,
  at: { isolated: IsolatedEndpoints; nowMs: number },
): EndpointRecord | undefined {
  const { isolated, nowMs } = at;
  const { job } = task;
  const { service } = job.order;
  const counts = isolated.counts.get(service);
  if (!counts || isolated.byJob.has(job)) return undefined;
  if (isolated.exhausted.has(service)) return undefined;
  const endpoint = chooseEndpointToIsolate(state, task, nowMs);
  if (!endpoint) return undefined;
  if (!canIsolate(endpoint, counts)) {
    isolated.exhausted.add(service);
    return undefined;
  }
  endpoint.isolatedTask = task;
  isolated.byTask.set(task, endpoint);
  isolated.byJob.set(job, endpoint);
  counts.isolated += 1;
  return endpoint;
}

/** Whether another suspect may have the endpoint, beside the isolated ones of the service. */
function canIsolate(
  { runs }: EndpointRecord,
  counts: { all: number; usable: number; isolated: number },
): boolean {
  const { all, usable, isolated } = counts;
  if (isolated === 0) return true;
  if (runs.size > 0) return isolated < usable * MAX_EMPTIED_PART;
  return isolated + all - usable < all * MAX_IDLE_PART;
}

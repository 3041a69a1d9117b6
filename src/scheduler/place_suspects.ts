import { canHostTask } from "./can_host_task.ts";
import { canRestart } from "./can_restart.ts";
import { computePlacementCost } from "./compute_placement_cost.ts";
import { computeUtilisation } from "./compute_utilisation.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { isSuspect } from "./is_suspect.ts";
import { isWanted } from "./is_wanted.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { startTask } from "./start_task.ts";

/** Largest part of a service's usable endpoints that are emptied for suspects at a time; at least one endpoint. */
const MAX_EMPTIED_PART = 0.1;
/** Largest part of a service's endpoints that suspects have or that do not answer, if the next suspect gets an idle one; the rest carries the load of the idle ones. */
const MAX_IDLE_PART = 0.5;
/** Cost, as slowness, of an endpoint whose runs have to end first, and of one that they fill; higher than that of any slowness. */
const OCCUPIED_COST = 1_000;

/**
 * Starts the suspects, each at an endpoint that runs nothing else, so that a
 * crash proves the cause and takes no other run along. Where no endpoint is
 * idle, one is kept free of new runs until its runs have ended. A job has one
 * suspect running at a time, and all suspects together a part of the endpoints:
 * a small one while the service is busy.
 */
export function placeSuspects(state: SchedulerState, nowMs: number): void {
  if (state.suspects.size === 0) return;
  const ready = [...state.suspects]
    .filter((task) => isReady(state, task, nowMs))
    // The run that was started last before a crash is its likeliest cause.
    .sort((one, other) => readLastAge(other) - readLastAge(one));
  for (const task of ready) {
    const endpoint = findOrChooseEndpoint(state, task, nowMs);
    if (!endpoint || endpoint.runs.size > 0) continue;
    if (!canFitAlone(endpoint, task)) continue;
    if (!canHostTask(state, endpoint, { task, nowMs })) continue;
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
  if (!isSuspect(task, nowMs) || !canRestart(task, nowMs)) {
    return false;
  }
  if (!isWanted(job)) return false;
  if (!job.order.isKept) return true;
  // A later scheduler has to know of the losses before the next start.
  return job.savedLossChanges === job.lossChanges &&
    nowMs <= state.roleExclusiveUntilMs;
}

/** Finds the endpoint that is kept for the task, or else chooses one, if another suspect may have one. */
function findOrChooseEndpoint(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): EndpointRecord | undefined {
  const { job } = task;
  const counts = { all: 0, usable: 0, isolated: 0 };
  let best: EndpointRecord | undefined;
  let bestCost = Infinity;
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.foreignRuns.has(task.name)) return undefined;
    if (endpoint.row.service !== job.order.service) continue;
    const { isolatedTask } = endpoint;
    if (isolatedTask === task) return endpoint;
    if (isolatedTask?.job === job) return undefined;
    counts.all += 1;
    if (endpoint.phase === "usable") counts.usable += 1;
    if (isolatedTask) {
      counts.isolated += 1;
      continue;
    }
    if (!canFitAlone(endpoint, task)) continue;
    if (!canHostTask(state, endpoint, { task, nowMs })) continue;
    const cost = computeIsolationCost(state, endpoint, task);
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  if (!best || !canIsolate(best, counts)) return undefined;
  best.isolatedTask = task;
  return best;
}

/** Whether another suspect may have the endpoint, beside the isolated ones of the service's endpoints. */
function canIsolate(
  endpoint: EndpointRecord,
  counts: { all: number; usable: number; isolated: number },
): boolean {
  const { all, usable, isolated } = counts;
  if (isolated === 0) return true;
  if (endpoint.runs.size > 0) return isolated < usable * MAX_EMPTIED_PART;
  return isolated + all - usable < all * MAX_IDLE_PART;
}

/** Whether the task fits the endpoint once nothing else runs there. */
function canFitAlone({ row }: EndpointRecord, task: ScheduledTask): boolean {
  const resources = readTaskResources(task);
  return resources.cpu <= row.room.cpu &&
    resources.memoryMb <= row.room.memoryMb && resources.gpus <= row.room.gpus;
}

/** Computes the cost of starting the task alone at an endpoint; idle endpoints come first, then those that run little. */
function computeIsolationCost(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): number {
  const cost = computePlacementCost(state, endpoint, task);
  if (endpoint.runs.size === 0) return cost;
  return cost + OCCUPIED_COST * (1 + computeUtilisation(endpoint));
}

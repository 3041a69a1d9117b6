import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskRoom } from "./read_task_room.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Slowness that a failed or unanswered run of the same task counts for: any other endpoint goes first. */
const FAILED_COST = 100;
/** Slowness that a full endpoint is preferred by over an empty one, to keep whole workers free for wide tasks. */
const FULLNESS_GAIN = 0.1;

/** Chooses the endpoint where a task ends soonest, of equals the one left fullest; none while another run of the task is listed. */
export function chooseEndpoint(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): EndpointRecord | undefined {
  let best: EndpointRecord | undefined;
  let bestCost = Infinity;
  for (const endpoint of state.endpoints.values()) {
    const { foreignRuns } = endpoint;
    // Another run of the task, which goes on until its end is listed or its lease is over.
    if (foreignRuns.size > 0 && foreignRuns.has(task.name)) return undefined;
    if (!canTake(endpoint, task, nowMs)) continue;
    const cost = computeCost(state, endpoint, task);
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
}

function canTake(
  endpoint: EndpointRecord,
  task: ScheduledTask,
  nowMs: number,
): boolean {
  const { row, used, phase } = endpoint;
  if (phase !== "usable" || row.isDraining) return false;
  // A start would extend the lease of runs that another scheduler takes as ending.
  if (endpoint.foreignRuns.size > 0 || endpoint.lapseByClockMs > 0) {
    return false;
  }
  if (row.service !== task.job.order.service) return false;
  if (endpoint.restUntilMs > nowMs) return false;
  if (endpoint.strikes > 0 && endpoint.runs.size > 0) return false;
  const room = readTaskRoom(task);
  if (used.cpu + room.cpu > row.room.cpu) return false;
  if (used.memoryMb + room.memoryMb > row.room.memoryMb) return false;
  if (used.gpus + room.gpus > row.room.gpus) return false;
  return isAllowed(endpoint, task);
}

function isAllowed(endpoint: EndpointRecord, task: ScheduledTask): boolean {
  const { requiredLabel, mostPerEndpoint } = task.job.order.steps[task.step];
  if (requiredLabel && !endpoint.row.labels.includes(requiredLabel)) {
    return false;
  }
  if (mostPerEndpoint === undefined) return true;
  let count = 0;
  for (const other of endpoint.runs.values()) {
    if (other.job === task.job && other.step === task.step) count += 1;
  }
  return count < mostPerEndpoint;
}

function computeCost(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): number {
  const { rack } = task.job.order.steps[task.step];
  const isRemote = rack !== undefined && !endpoint.row.labels.includes(rack);
  const factor = isRemote ? state.limits.remoteFactor : 1;
  const failures = task.failedOn.filter((id) => id === endpoint.row.id).length;
  const share = endpoint.used.cpu / endpoint.row.room.cpu;
  return endpoint.slowness * factor + failures * FAILED_COST -
    share * FULLNESS_GAIN;
}

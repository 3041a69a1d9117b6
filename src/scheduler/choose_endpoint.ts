import { canListFurtherEnd } from "./can_list_further_end.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Cost, as slowness, of each failed or unanswered run of the task at an endpoint; high enough that any other endpoint is preferred. */
const FAILED_RUN_COST = 100;
/** Cost, as slowness, that a full endpoint saves over an empty one. Filling endpoints keeps whole workers free for tasks that need many cores. */
const UTILISATION_GAIN = 0.1;

/**
 * Chooses the endpoint where a task is expected to end soonest, and among
 * equals the fullest one. Returns undefined when no endpoint has enough free
 * capacity, or while an endpoint lists a foreign run of the task.
 */
export function chooseEndpoint(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): EndpointRecord | undefined {
  let best: EndpointRecord | undefined;
  let bestCost = Infinity;
  for (const endpoint of state.endpoints.values()) {
    const { foreignRuns } = endpoint;
    // The task must not run twice: wait until the end of its foreign run is listed or that endpoint's lease has expired.
    if (foreignRuns.size > 0 && foreignRuns.has(task.name)) return undefined;
    if (!canStart(state, endpoint, { task, nowMs })) continue;
    const cost = computeCost(state, endpoint, task);
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
}

/** Whether the endpoint may start the task now. */
function canStart(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): boolean {
  const { task, nowMs } = start;
  const { row, used, phase } = endpoint;
  if (phase !== "usable" || row.isDraining) return false;
  // Starting a task extends the endpoint's lease, but another scheduler may count the foreign runs there as ended once that lease expires.
  if (endpoint.foreignRuns.size > 0 || endpoint.leaseExpiryClockMs > 0) {
    return false;
  }
  if (row.service !== task.job.order.service) return false;
  if (endpoint.backoffUntilMs > nowMs) return false;
  if (endpoint.consecutiveFailures > 0 && endpoint.runs.size > 0) return false;
  const resources = readTaskResources(task);
  if (used.cpu + resources.cpu > row.room.cpu) return false;
  if (used.memoryMb + resources.memoryMb > row.room.memoryMb) return false;
  if (used.gpus + resources.gpus > row.room.gpus) return false;
  if (!canListFurtherEnd(state, endpoint)) return false;
  return hasAllowedPlacement(endpoint, task);
}

/** Whether the step's required label and its limit of tasks per endpoint allow the task there. */
function hasAllowedPlacement(
  endpoint: EndpointRecord,
  task: ScheduledTask,
): boolean {
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

/** Computes the endpoint's expected slowness for the task, plus the cost of its failed runs there and less the gain for a full endpoint; the lowest cost is best. */
function computeCost(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): number {
  const { rack } = task.job.order.steps[task.step];
  const isRemote = rack !== undefined && !endpoint.row.labels.includes(rack);
  const factor = isRemote ? state.limits.remoteFactor : 1;
  const failures =
    task.failedEndpointIds.filter((id) => id === endpoint.row.id).length;
  const utilisation = endpoint.used.cpu / endpoint.row.room.cpu;
  return endpoint.slowness * factor + failures * FAILED_RUN_COST -
    utilisation * UTILISATION_GAIN;
}

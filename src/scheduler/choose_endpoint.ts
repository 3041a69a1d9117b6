import { canHostTask } from "./can_host_task.ts";
import { computePlacementCost } from "./compute_placement_cost.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { hasRoomFor } from "./has_room_for.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

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
    const cost = computePlacementCost(state, endpoint, task);
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
  if (endpoint.isolatedTask || !hasRoomFor(endpoint, start.task)) return false;
  return canHostTask(state, endpoint, start);
}

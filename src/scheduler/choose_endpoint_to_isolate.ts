import { canFitAlone } from "./can_fit_alone.ts";
import { canHostTask } from "./can_host_task.ts";
import { computePlacementCost } from "./compute_placement_cost.ts";
import { computeUtilisation } from "./compute_utilisation.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Cost, as slowness, of an endpoint whose runs have to end first, and of one that they fill; higher than that of any slowness. */
const OCCUPIED_COST = 1_000;

/** Chooses the endpoint where a suspect can start alone soonest: an idle one, or else one that runs little. Returns undefined when there is none. */
export function chooseEndpointToIsolate(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): EndpointRecord | undefined {
  let best: EndpointRecord | undefined;
  let bestCost = Infinity;
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.foreignRuns.has(task.name)) return undefined;
    if (endpoint.isolatedTask || !canFitAlone(endpoint, task)) continue;
    if (!canHostTask(state, endpoint, { task, nowMs })) continue;
    const cost = computeIsolationCost(state, endpoint, task);
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
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

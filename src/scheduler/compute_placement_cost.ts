import { computeUtilisation } from "./compute_utilisation.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Cost, as slowness, of each failed or unanswered run of the task at an endpoint; high enough that any other endpoint is preferred. */
const FAILED_RUN_COST = 100;
/** Cost, as slowness, that a full endpoint saves over an empty one. Filling endpoints keeps whole workers free for tasks that need many cores. */
const UTILISATION_GAIN = 0.1;

/** Computes the endpoint's expected slowness for the task, plus the cost of its failed runs there and less the gain for a full endpoint; the lowest cost is best. */
export function computePlacementCost(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): number {
  const { rack } = task.job.order.steps[task.step];
  const isRemote = rack !== undefined && !endpoint.row.labels.includes(rack);
  const factor = isRemote ? state.limits.remoteFactor : 1;
  const failures =
    task.failedEndpointIds.filter((id) => id === endpoint.row.id).length;
  const utilisation = computeUtilisation(endpoint);
  return endpoint.slowness * factor + failures * FAILED_RUN_COST -
    utilisation * UTILISATION_GAIN;
}

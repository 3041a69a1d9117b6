import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Computes the factor by which a task runs slower at an endpoint because its data is on another rack; 1 on its own rack or without one. */
export function computeRackFactor(
  { limits }: Pick<SchedulerState, "limits">,
  { row }: EndpointRecord,
  task: ScheduledTask,
): number {
  const { rack } = task.job.order.steps[task.step];
  const isRemote = rack !== undefined && !row.labels.includes(rack);
  return isRemote ? limits.remoteFactor : 1;
}

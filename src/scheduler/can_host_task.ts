import { canStartIn } from "../evacuation/can_start_in.ts";
import { canListFurtherEnd } from "./can_list_further_end.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Whether an endpoint takes starts now and may run the task, apart from its free capacity. */
export function canHostTask(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): boolean {
  const { task, nowMs } = start;
  const { row, phase } = endpoint;
  if (phase !== "usable" || row.isDraining) return false;
  if (state.mayHaveClosed && !canStartIn(state, row.dataCentre)) return false;
  // Starting a task extends the endpoint's lease, but another scheduler may count the foreign runs there as ended once that lease expires.
  if (endpoint.foreignRuns.size > 0 || endpoint.leaseExpiryClockMs > 0) {
    return false;
  }
  if (row.service !== task.job.order.service) return false;
  if (endpoint.backoffUntilMs > nowMs) return false;
  if (endpoint.consecutiveFailures > 0 && endpoint.runs.size > 0) return false;
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

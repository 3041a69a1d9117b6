import type { EndpointRecord } from "./endpoint_record.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Drops all runs of an endpoint of which none can be there any more. */
export function forgetRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  reason: string,
): void {
  for (const task of [...endpoint.runs.values()]) {
    dropRun(endpoint, task);
    retryTask(state, task, reason);
  }
  endpoint.strangers.clear();
}

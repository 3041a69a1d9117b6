import type { EndpointRecord } from "./endpoint_record.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Drops the runs of an endpoint that cannot be active there any more, requeues their tasks and forgets the endpoint's foreign runs. */
export function dropRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  options: {
    reason: string;
    nowMs: number;
    /** Drops only runs whose start was confirmed before this, in ms. Default: all runs. */
    confirmedBeforeMs?: number;
  },
): void {
  const { reason, confirmedBeforeMs, nowMs } = options;
  for (const task of [...endpoint.runs.values()]) {
    const isIncluded = confirmedBeforeMs === undefined ||
      task.startConfirmedMs > 0 && task.startConfirmedMs < confirmedBeforeMs;
    if (!isIncluded) continue;
    dropRun(endpoint, task);
    retryTask(state, task, { reason, endpoint, nowMs });
  }
  endpoint.foreignRuns.clear();
}

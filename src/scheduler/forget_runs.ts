import type { EndpointRecord } from "./endpoint_record.ts";
import { dropRun } from "./drop_run.ts";
import { retryTask } from "./retry_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Drops the runs of an endpoint that can't be there any more. */
export function forgetRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  options: {
    reason: string;
    nowMs: number;
    /** Only runs that were confirmed before, in ms; absent: all. */
    confirmedBeforeMs?: number;
  },
): void {
  const { reason, confirmedBeforeMs, nowMs } = options;
  for (const task of [...endpoint.runs.values()]) {
    const isOlder = confirmedBeforeMs === undefined ||
      task.confirmedMs > 0 && task.confirmedMs < confirmedBeforeMs;
    if (!isOlder) continue;
    dropRun(endpoint, task);
    retryTask(state, task, { reason, endpoint, nowMs });
  }
  endpoint.foreignRuns.clear();
}

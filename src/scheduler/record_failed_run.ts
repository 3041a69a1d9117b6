import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Counts a failed run as an attempt of its task, unless it has been counted before. */
export function recordFailedRun(
  state: SchedulerState,
  task: ScheduledTask,
  failed: { run: number; endpointId: string },
): void {
  const { run, endpointId } = failed;
  const isCounted = !task.failedRuns.includes(run);
  if (isCounted) task.failedRuns.push(run);
  recordEvent(state, "attemptFailed", {
    task: task.name,
    run,
    endpoint: endpointId,
    isCounted,
    attempts: task.failedRuns.length,
  });
}

import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Whether an endpoint lists a foreign run of the task. */
export function hasForeignRun(
  state: SchedulerState,
  { name }: ScheduledTask,
): boolean {
  for (const { foreignRuns } of state.endpoints.values()) {
    if (foreignRuns.has(name)) return true;
  }
  return false;
}

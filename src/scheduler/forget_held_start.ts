import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes the latest start by an earlier scheduler out of a held task's doubtful ones, as no endpoint has crashed since. */
export function forgetHeldStart(
  state: SchedulerState,
  task: ScheduledTask,
): void {
  if (task.doubtfulRuns.pop() === undefined) return;
  recordLossChange(state, task.job);
}

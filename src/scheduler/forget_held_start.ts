import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes the latest start by an earlier scheduler out of a held task's doubtful ones, as no endpoint has crashed since. */
export function forgetHeldStart(
  state: SchedulerState,
  task: ScheduledTask,
): void {
  if (task.doubtfulStarts === 0) return;
  task.doubtfulStarts -= 1;
  recordLossChange(state, task.job);
}

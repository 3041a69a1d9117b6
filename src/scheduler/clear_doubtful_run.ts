import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes the start of a run out of the doubtful ones, as its endpoint has listed the run's end and so has not crashed under it. Returns whether it was among them. */
export function clearDoubtfulRun(
  state: SchedulerState,
  task: ScheduledTask,
  run: number,
): boolean {
  const index = task.doubtfulRuns.indexOf(run);
  if (index < 0) return false;
  task.doubtfulRuns.splice(index, 1);
  recordLossChange(state, task.job);
  return true;
}

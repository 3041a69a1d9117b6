import { hasLostRuns } from "./has_lost_runs.ts";
import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { UNKNOWN_RUN } from "./unknown_run.ts";

/**
 * Counts the start of a held task by an earlier scheduler as doubtful, once a
 * hold, and returns whether it did. A task with lost runs or doubtful starts
 * has its starts counted already.
 */
export function countHeldStart(
  state: SchedulerState,
  task: ScheduledTask,
): boolean {
  if (!task.job.order.isKept || task.isHoldCounted) return false;
  task.isHoldCounted = true;
  if (hasLostRuns(task)) return false;
  task.doubtfulRuns = [UNKNOWN_RUN];
  recordLossChange(state, task.job);
  return true;
}

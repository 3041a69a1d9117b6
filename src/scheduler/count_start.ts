import { isWatched } from "./is_watched.ts";
import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Counts a start of a stored job's task among the doubtful ones, to be requested once that is in the store. */
export function countStart(
  state: SchedulerState,
  task: ScheduledTask,
  start: { earlierRun: number; nowMs: number },
): void {
  const { earlierRun, nowMs } = start;
  task.doubtfulRuns.push(task.run);
  task.isStartCounted = true;
  if (isWatched(task)) state.suspects.add(task);
  recordLossChange(state, task.job);
  state.countedStarts.set(task, {
    run: task.run,
    earlierRun,
    lossChange: task.job.lossChanges,
    countedMs: nowMs,
  });
}

import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { clearDoubtfulRun } from "./clear_doubtful_run.ts";

/** Takes the task's counted start, if there is one, out of the doubtful ones: what became of it is known. */
export function clearCountedStart(
  state: SchedulerState,
  task: ScheduledTask,
): void {
  if (!task.isStartCounted) return;
  task.isStartCounted = false;
  clearDoubtfulRun(state, task, task.run);
}

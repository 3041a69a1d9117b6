import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Lets a task whose run is over, or never was, wait for room again. */
export function retryTask(
  state: SchedulerState,
  task: ScheduledTask,
  reason: string,
): void {
  const { job } = task;
  if (job.outcome || task.phase === "done" || task.phase === "waiting") return;
  task.phase = "waiting";
  job.waitingCount += 1;
  state.waiting.add(job);
  recordEvent(state, "taskRequeued", {
    task: task.name,
    run: task.run,
    reason,
  });
}

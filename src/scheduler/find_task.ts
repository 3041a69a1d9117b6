import { findJob } from "./find_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds a task of a known job by its name; undefined when the job is unknown. */
export function findTask(
  state: SchedulerState,
  name: string,
): ScheduledTask | undefined {
  return findJob(state, name)?.tasks.find((task) => task.name === name);
}

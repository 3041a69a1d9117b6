import { parseTaskName } from "./parse_task_name.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds a task of a known job by its name; undefined when the job is unknown. */
export function findTask(
  state: SchedulerState,
  name: string,
): ScheduledTask | undefined {
  const parsed = parseTaskName(name);
  const job = parsed && state.jobs.get(parsed.jobId);
  return job?.tasks.find((task) => task.name === name);
}

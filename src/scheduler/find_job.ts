import { parseTaskName } from "./parse_task_name.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds the known job to which a task of that name belongs; undefined when the job is unknown. */
export function findJob(
  state: SchedulerState,
  taskName: string,
): ScheduledJob | undefined {
  const parsed = parseTaskName(taskName);
  return parsed && state.jobs.get(parsed.jobId);
}

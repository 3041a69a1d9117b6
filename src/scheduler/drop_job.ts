import { releaseTasks } from "./release_tasks.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Forgets a job and frees its memory. */
export function dropJob(state: SchedulerState, job: ScheduledJob): void {
  const { id, isKept } = job.order;
  state.jobs.delete(id);
  state.orderBytes[isKept ? "stored" : "unstored"] -= job.orderBytes;
  releaseTasks(state, job);
}

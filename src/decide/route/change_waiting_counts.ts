import type { JobState } from "../job/job_state.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Adds a task to, or removes it from, the waiting work of its service and the
 * queued tasks of its client.
 */
export function changeWaitingCounts(
  scheduler: EntrySchedulerState,
  job: JobState,
  change: { index: number; by: 1 | -1 },
): void {
  const task = job.tasks[change.index];
  const { service } = task.request;
  const workMs = scheduler.waitingWorkMs.get(service) ?? 0;
  const changedMs = workMs + change.by * task.expectedMs;
  scheduler.waitingWorkMs.set(service, Math.max(0, changedMs));
  const share = scheduler.clients.get(job.client);
  if (share) share.queued += change.by;
}

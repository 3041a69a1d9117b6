import type { JobState } from "../job/job_state.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Counts a task in or out of what waits for its service and its client. */
export function changeWaiting(
  scheduler: SchedulerState,
  job: JobState,
  change: { index: number; by: 1 | -1 },
): void {
  const task = job.tasks[change.index];
  const { service } = task.request;
  const waitingMs = scheduler.waitingMs.get(service) ?? 0;
  const changedMs = waitingMs + change.by * task.expectedMs;
  scheduler.waitingMs.set(service, Math.max(0, changedMs));
  const share = scheduler.clients.get(job.client);
  if (share) share.queued += change.by;
}

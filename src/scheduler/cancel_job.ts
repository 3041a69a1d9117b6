import { endJob } from "./end_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Ends a stored job that its caller has cancelled. Ignores best-effort, ended and unknown jobs. */
export function cancelJob(
  state: SchedulerState,
  jobId: string,
  nowMs: number,
): void {
  const job = state.jobs.get(jobId);
  if (!job?.order.isKept || job.outcome) return;
  endJob(state, job, {
    outcome: { type: "failed", reason: "cancelled" },
    nowMs,
  });
}

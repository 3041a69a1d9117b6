import { endJob } from "./end_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Removes a VM whose caller no longer waits for a best-effort job. The job ends unless a caller of another VM waits for it. */
export function dropCaller(
  state: SchedulerState,
  jobId: string,
  from: {
    vm: string;
    nowMs: number;
    /** Whether the caller has left or has cancelled the job. Default: abandoned. */
    reason?: "abandoned" | "cancelled";
  },
): void {
  const job = state.jobs.get(jobId);
  if (!job || job.outcome || job.order.isKept) return;
  const { reason = "abandoned" } = from;
  job.vms.delete(from.vm);
  if (job.vms.size > 0) return;
  const outcome = job.mayHaveStarted
    ? { type: "failed", reason } as const
    : { type: "refused", reason, retryAfterMs: 0 } as const;
  endJob(state, job, { outcome, nowMs: from.nowMs });
}

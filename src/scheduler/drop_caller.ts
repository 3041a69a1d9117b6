import { endJob } from "./end_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** A VM's caller has left: the job ends unless another VM's caller waits for it. */
export function dropCaller(
  state: SchedulerState,
  jobId: string,
  from: {
    vm: string;
    nowMs: number;
    /** Why: it waits no longer, or it has cancelled the job. Default: abandoned. */
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

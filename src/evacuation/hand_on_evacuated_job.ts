import { endJob } from "../scheduler/end_job.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { tryPassJob } from "../scheduler/try_pass_job.ts";
import { isHeldByEvacuation } from "./is_held_by_evacuation.ts";

/** Time after which a caller may retry, in ms: whether and when the data centres are taken back is not known. */
const RETRY_AFTER_MS = 2_000;

/**
 * Passes a best-effort job that the group's open data centres can't run to
 * another group, or ends it at once where no group takes it; returns whether it
 * did. A stored job waits, as its group can change.
 */
export function handOnEvacuatedJob(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): boolean {
  if (job.order.isKept || !isHeldByEvacuation(state, job)) return false;
  if (tryPassJob(state, job, nowMs, { mustLeave: true })) return true;
  const reason = "evacuated";
  endJob(state, job, {
    outcome: job.mayHaveStarted
      ? { type: "failed", reason }
      : { type: "refused", reason, retryAfterMs: RETRY_AFTER_MS },
    nowMs,
  });
  return true;
}

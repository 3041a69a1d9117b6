import type { SchedulerState } from "./scheduler_state.ts";

/** Added to the callers' resend time where callers can only return to this scheduler, in ms. */
const RESEND_MARGIN_MS = 700;
/** Grace period of the jobs of an unresponsive VM, in ms: short, because that VM may be alive and answer its callers in solo mode. */
const UNRESPONSIVE_GRACE_MS = 800;
/** Subtracted from the callers' resend time where a caller may return to another scheduler, in ms. The job must end first, as the other scheduler would start its tasks a second time. */
const OTHER_SCHEDULER_MARGIN_MS = 300;
/** Grace period for an unresponsive VM where a caller may return to another scheduler, in ms. Together with the time until a VM counts as unresponsive it is less than the callers' resend time. */
const OTHER_SCHEDULER_UNRESPONSIVE_GRACE_MS = 400;

/**
 * Computes the grace period of a lost VM's jobs, in ms. The VM's callers may
 * return through another VM and join their jobs here. The period is shorter
 * where the other VM may have another scheduler, which would start the tasks
 * again: that of another group, a solo VM, a later scheduler that has replaced
 * this one, or an earlier one, which can start tasks only at endpoints that
 * this scheduler does not reach.
 */
export function computeGracePeriod(
  state: SchedulerState,
  lost: { how: "closed" | "silent"; nowMs: number },
): number {
  const { limits } = state;
  const canLeave = canReachOtherScheduler(state, lost);
  if (lost.how === "silent") {
    return canLeave
      ? OTHER_SCHEDULER_UNRESPONSIVE_GRACE_MS
      : UNRESPONSIVE_GRACE_MS;
  }
  return canLeave
    ? limits.resendMs - OTHER_SCHEDULER_MARGIN_MS
    : limits.resendMs + RESEND_MARGIN_MS;
}

/** Whether a caller of the lost VM may return to a VM with another scheduler. */
function canReachOtherScheduler(
  state: SchedulerState,
  { how, nowMs }: { how: "closed" | "silent"; nowMs: number },
): boolean {
  const {
    hasOtherGroups,
    lostVmCount,
    roleExclusiveUntilMs,
    missingEndpoints,
  } = state;
  if (
    hasOtherGroups || nowMs > roleExclusiveUntilMs || missingEndpoints.size > 0
  ) {
    return true;
  }
  // `lostVmCount` includes this VM. If it is unresponsive it may be in solo mode and still run the job, as it cannot report that it has abandoned the job.
  if (lostVmCount > (how === "silent" ? 0 : 1)) return true;
  for (const { phase } of state.endpoints.values()) {
    if (phase === "unlisted" || phase === "silent") return true;
  }
  return false;
}

import type { SchedulerState } from "./scheduler_state.ts";

/** Added to the callers' resend time before an orphaned job is given up, in ms. */
const RESEND_MARGIN_MS = 700;
/** A VM that fell silent may live and answer its callers by itself, so its jobs go on only this long, in ms. */
const SILENT_MS = 800;
/** Where the caller may come back to another decider an orphaned job is over this long before its caller may come back, in ms: that decider would start it beside us. */
const APART_MARGIN_MS = 300;
/** The same as `SILENT_MS` then, in ms: with the time in which a VM is found silent, less than the callers' resend time. */
const APART_SILENT_MS = 400;

/**
 * Computes for how long a lost VM's jobs go on, in ms: its callers may come
 * back through another VM and join them, unless that VM may be another
 * group's or serve alone, or be linked to another scheduler. A later one may
 * have replaced this one; an earlier one can start tasks only at endpoints
 * that this one does not reach.
 */
export function computeOrphanGrace(
  state: SchedulerState,
  lost: { how: "closed" | "silent"; nowMs: number },
): number {
  const { limits } = state;
  const isApart = canOthersDecide(state, lost);
  if (lost.how === "silent") return isApart ? APART_SILENT_MS : SILENT_MS;
  return isApart
    ? limits.resendMs - APART_MARGIN_MS
    : limits.resendMs + RESEND_MARGIN_MS;
}

function canOthersDecide(
  state: SchedulerState,
  { how, nowMs }: { how: "closed" | "silent"; nowMs: number },
): boolean {
  const {
    hasOtherGroups,
    lostVmCount,
    roleExclusiveUntilMs,
    missing,
  } = state;
  if (hasOtherGroups || nowMs > roleExclusiveUntilMs || missing.size > 0) {
    return true;
  }
  // A VM that fell silent may serve alone itself, and not have been heard to give its job up.
  if (lostVmCount > (how === "silent" ? 0 : 1)) return true;
  for (const { phase } of state.endpoints.values()) {
    if (phase === "unlisted" || phase === "silent") return true;
  }
  return false;
}

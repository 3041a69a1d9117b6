import { isWanted } from "./is_wanted.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Added to the callers' resend time before an orphaned job is given up, in ms. */
const RESEND_MARGIN_MS = 700;
/** A VM that fell silent may live and answer its callers by itself, so its jobs go on only this long, in ms. */
const SILENT_MS = 800;
/** Beside other groups an orphaned job is over this long before its caller may come back, in ms: that may be to another group. */
const GROUPED_MARGIN_MS = 300;
/** The same as `SILENT_MS` beside other groups, in ms: with the time in which a VM is found silent, less than the callers' resend time. */
const GROUPED_SILENT_MS = 400;

/** A VM's link is gone. Its callers may come back through another VM, so its jobs go on for a while. */
export function loseVm(
  state: SchedulerState,
  vm: string,
  lost: { how: "closed" | "silent"; nowMs: number },
): void {
  const graceMs = computeGrace(state, lost.how);
  for (const job of state.jobs.values()) {
    if (!job.vms.delete(vm) || isWanted(job) || job.outcome) continue;
    job.orphanedMs = lost.nowMs + graceMs;
    recordEvent(state, "jobOrphaned", { job: job.order.id, vm, graceMs });
  }
}

function computeGrace(
  { isGrouped, limits }: SchedulerState,
  how: "closed" | "silent",
): number {
  if (how === "silent") return isGrouped ? GROUPED_SILENT_MS : SILENT_MS;
  return isGrouped
    ? limits.resendMs - GROUPED_MARGIN_MS
    : limits.resendMs + RESEND_MARGIN_MS;
}

import { isWanted } from "./is_wanted.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Added to the callers' resend time before an orphaned job is given up, in ms. */
const RESEND_MARGIN_MS = 700;
/** A VM that fell silent may live and answer its callers by itself, so its jobs go on only this long, in ms. */
const SILENT_MS = 800;

/** A VM's link is gone. Its callers may come back through another VM, so its jobs go on for a while. */
export function loseVm(
  state: SchedulerState,
  vm: string,
  lost: { how: "closed" | "silent"; nowMs: number },
): void {
  const graceMs = lost.how === "closed"
    ? state.limits.resendMs + RESEND_MARGIN_MS
    : SILENT_MS;
  for (const job of state.jobs.values()) {
    if (!job.vms.delete(vm) || isWanted(job) || job.outcome) continue;
    job.orphanedMs = lost.nowMs + graceMs;
    recordEvent(state, "jobOrphaned", { job: job.order.id, vm, graceMs });
  }
}

import { computeGracePeriod } from "./compute_grace_period.ts";
import { isWanted } from "./is_wanted.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Removes a VM whose link is lost. Its callers may return through another VM, so its jobs, orphaned now, run on for a grace period. */
export function dropVm(
  state: SchedulerState,
  vm: string,
  lost: { how: "closed" | "silent"; nowMs: number },
): void {
  const graceMs = computeGracePeriod(state, lost);
  for (const job of state.jobs.values()) {
    if (!job.vms.delete(vm) || isWanted(job) || job.outcome) continue;
    job.orphanedMs = lost.nowMs;
    job.orphanCause = lost.how;
    state.orphans.add(job);
    recordEvent(state, "jobOrphaned", { job: job.order.id, vm, graceMs });
  }
}

import { computeOrphanGrace } from "./compute_orphan_grace.ts";
import { isWanted } from "./is_wanted.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** A VM's link is gone. Its callers may come back through another VM, so its jobs go on for a while. */
export function dropVm(
  state: SchedulerState,
  vm: string,
  lost: { how: "closed" | "silent"; nowMs: number },
): void {
  const graceMs = computeOrphanGrace(state, lost);
  for (const job of state.jobs.values()) {
    if (!job.vms.delete(vm) || isWanted(job) || job.outcome) continue;
    job.orphanedMs = lost.nowMs;
    job.orphanedBy = lost.how;
    recordEvent(state, "jobOrphaned", { job: job.order.id, vm, graceMs });
  }
}

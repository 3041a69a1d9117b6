import { endJob } from "./end_job.ts";
import { findRefusal } from "./find_refusal.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Ends waiting jobs that can't be served any more: at once, not at their deadline. */
export function reviewWaiting(state: SchedulerState, nowMs: number): void {
  for (const job of [...state.waiting]) {
    const refusal = findRefusal(state, job, nowMs);
    if (!refusal) continue;
    const outcome = job.mayHaveStarted
      ? { type: "failed", reason: "outOfTime" } as const
      : refusal;
    endJob(state, job, { outcome, nowMs });
  }
}

import { handOnEvacuatedJob } from "../evacuation/hand_on_evacuated_job.ts";
import { endJob } from "./end_job.ts";
import { findRefusal } from "./find_refusal.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Ends waiting jobs as soon as they cannot be served any more, rather than when their callers stop waiting, and hands on those that only evacuated endpoints can run. */
export function endUnservableJobs(state: SchedulerState, nowMs: number): void {
  for (const job of [...state.waiting]) {
    const refusal = findRefusal(state, job, nowMs);
    if (!refusal) {
      handOnEvacuatedJob(state, job, nowMs);
      continue;
    }
    const outcome = job.mayHaveStarted
      ? { type: "failed", reason: "outOfTime" } as const
      : refusal;
    endJob(state, job, { outcome, nowMs });
  }
}

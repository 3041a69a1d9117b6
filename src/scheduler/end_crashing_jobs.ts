import { countCrashes } from "./count_crashes.ts";
import { endJob } from "./end_job.ts";
import { hasUsedCrashes } from "./has_used_crashes.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Ends the jobs of tasks under which too many endpoints are proven to have crashed, and forgets the suspects that have ended. */
export function endCrashingJobs(state: SchedulerState, nowMs: number): void {
  for (const task of state.suspects) {
    const { job, phase, lostRuns, doubtfulRuns } = task;
    if (job.outcome || phase === "done") {
      state.suspects.delete(task);
      continue;
    }
    // A run counts as ended only once its endpoint's lease has expired; until then the endpoint may answer again.
    if (phase !== "waiting") continue;
    if (!hasUsedCrashes(task, { areProven: true })) continue;
    // Endpoints that have not answered yet may list how its runs ended.
    if (task.heldUntilMs > 0) continue;
    recordEvent(state, "taskGivenUp", {
      task: task.name,
      crashes: countCrashes(lostRuns).all,
      doubts: doubtfulRuns.length,
      endpoints: lostRuns.map(({ endpointId }) => endpointId).join(" "),
    });
    const outcome = { type: "failed", reason: "endpointsCrashed" } as const;
    endJob(state, job, { outcome, nowMs });
  }
}

import { recordJobChange } from "./record_job_change.ts";
import { recordEvent } from "./record_event.ts";
import { releaseTasks } from "./release_tasks.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Ends a job: notifies its VMs of the outcome and stops its active runs. Does nothing if the job has ended. */
export function endJob(
  state: SchedulerState,
  job: ScheduledJob,
  end: { outcome: JobOutcome; nowMs: number },
): void {
  if (job.outcome) return;
  const { outcome, nowMs } = end;
  job.outcome = outcome;
  job.endedMs = nowMs;
  state.waiting.delete(job);
  recordJobChange(state, job);
  job.waitingTaskCount = 0;
  state.effects.push({
    type: "notifyEnded",
    vms: [...job.vms],
    jobId: job.order.id,
    outcome,
  });
  recordEvent(state, "jobEnded", {
    job: job.order.id,
    outcome: outcome.type,
    reason: outcome.type === "completed" ? undefined : outcome.reason,
    tookMs: Math.round(nowMs - job.arrivedMs),
    objectiveMs: Math.round(job.objectiveMs - job.arrivedMs),
    open: job.openTaskCount,
  });
  for (const task of job.tasks) {
    if (task.phase === "done" || task.endpointId === undefined) continue;
    if (!state.endpoints.get(task.endpointId)?.runs.has(task.name)) continue;
    state.effects.push({
      type: "stopRun",
      endpointId: task.endpointId,
      task: task.name,
      run: task.run,
    });
  }
  if (outcome.type === "completed") releaseTasks(state, job);
}

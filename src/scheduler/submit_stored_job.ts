import { adoptTasks } from "./adopt_tasks.ts";
import { createJob } from "./create_job.ts";
import { endJob } from "./end_job.ts";
import type { JobOrder } from "./job_order.ts";
import { recordChange } from "./record_change.ts";
import { recordEvent } from "./record_event.ts";
import { releaseSteps } from "./release_steps.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { StoredProgress } from "./stored_progress.ts";

/** Takes a job from the store, to be placed with others of the same reading; one that is known already goes on as it is. */
export function submitStoredJob(
  state: SchedulerState,
  order: JobOrder,
  from: {
    nowMs: number;
    /** What an earlier scheduler has stored of it. */
    progress?: StoredProgress;
    /** Whether an earlier scheduler may have begun it. */
    mayHaveRun: boolean;
  },
): void {
  if (state.jobs.has(order.id)) return;
  const { nowMs, progress, mayHaveRun } = from;
  const job = createJob(state, order, nowMs);
  state.jobs.set(order.id, job);
  state.hasKeptJobs = true;
  recordEvent(state, "jobAccepted", {
    job: order.id,
    route: order.route,
    tasks: job.tasks.length,
    ageMs: Math.round(order.ageMs),
    objectiveInMs: Math.round(job.objectiveMs - nowMs),
    isResubmitted: mayHaveRun,
    isKept: true,
  });
  if (progress) takeFailures(job, progress);
  const done = job.tasks
    .filter((_, index) => progress?.done[index])
    .map(({ name }) => name);
  adoptTasks(state, job, {
    progress: { done, placed: [], isResubmitted: mayHaveRun, wasSolo: false },
    nowMs,
  });
  const hasRun = job.tasks.some(({ phase }) => phase !== "blocked");
  if (hasRun && !progress) recordChange(state, job);
  job.mayHaveStarted = hasRun || progress !== undefined;
  job.isStarted ||= progress !== undefined;
  releaseSteps(state, job);
  endIfOver(state, job, nowMs);
}

function takeFailures(job: ScheduledJob, progress: StoredProgress): void {
  for (const { task: index, count, run } of progress.failures) {
    const task = job.tasks[index];
    if (!task) continue;
    task.failures = count;
    task.failedRun = run;
  }
}

function endIfOver(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): void {
  if (job.openCount === 0) {
    endJob(state, job, { outcome: { type: "completed" }, nowMs });
    return;
  }
  const { maxAttempts } = job.order;
  if (!job.tasks.some(({ failures }) => failures >= maxAttempts)) return;
  endJob(state, job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs,
  });
}

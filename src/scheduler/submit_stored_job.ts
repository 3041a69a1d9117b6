import { adoptTasks } from "./adopt_tasks.ts";
import { createJob } from "./create_job.ts";
import { endJob } from "./end_job.ts";
import type { JobOrder } from "./job_order.ts";
import { isWatched } from "./is_watched.ts";
import { hasUsedAttempts } from "./has_used_attempts.ts";
import { recordJobChange } from "./record_job_change.ts";
import { recordEvent } from "./record_event.ts";
import { releaseBlockedTasks } from "./release_blocked_tasks.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { StoredProgress } from "./stored_progress.ts";

/**
 * Accepts a job that was read from the store. Its tasks are not placed yet, so
 * that all jobs of one read can be placed together. Ignores a known job.
 */
export function submitStoredJob(
  state: SchedulerState,
  order: JobOrder,
  from: {
    nowMs: number;
    /** Progress that an earlier scheduler has saved. */
    progress?: StoredProgress;
    /** Whether an earlier scheduler may have started the job. */
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
  if (progress) {
    addFailures(job, progress);
    addLostRuns(state, job, { progress, nowMs });
  }
  const done = job.tasks
    .filter((_, index) => progress?.done[index])
    .map(({ name }) => name);
  adoptTasks(state, job, {
    progress: { done, placed: [], isResubmitted: mayHaveRun, wasSolo: false },
    nowMs,
  });
  const hasRun = job.tasks.some(({ phase }) => phase !== "blocked");
  if (hasRun && !progress) recordJobChange(state, job);
  job.mayHaveStarted = hasRun || progress !== undefined;
  job.hasKnownStart ||= progress !== undefined && !progress.isUnstarted;
  releaseBlockedTasks(state, job);
  endIfFinished(state, job, nowMs);
}

/** Sets the failed runs that an earlier scheduler has saved. */
function addFailures(job: ScheduledJob, progress: StoredProgress): void {
  for (const { task: index, run } of progress.failedRuns) {
    const task = job.tasks[index];
    task?.failedRuns.push(run);
  }
}

/** Sets the lost runs and doubtful starts that an earlier scheduler has saved, less the lost runs whose endpoint has listed its runs since under the same process. */
function addLostRuns(
  state: SchedulerState,
  job: ScheduledJob,
  from: { progress: StoredProgress; nowMs: number },
): void {
  const { progress, nowMs } = from;
  for (const { task: index, ...lost } of progress.lostRuns ?? []) {
    const task = job.tasks[index];
    const processStartMs = state.endpoints.get(lost.endpointId)
      ?.processStartMs;
    if (!task || processStartMs === lost.processStartMs) continue;
    const isCrashProven = lost.isCrashProven ||
      processStartMs !== undefined && processStartMs > 0;
    const hasCrashed = lost.hasCrashed || isCrashProven;
    const since = { hasCrashed, isCrashProven, lostMs: nowMs, ageMs: 0 };
    task.lostRuns.push({ ...lost, ...since });
    state.suspects.add(task);
  }
  for (const { task: index, run } of progress.doubtfulRuns ?? []) {
    const task = job.tasks[index];
    if (!task) continue;
    task.doubtfulRuns.push(run);
    if (isWatched(task)) state.suspects.add(task);
  }
}

/** Ends the job if all its tasks are done or a task has used up its attempts. */
function endIfFinished(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): void {
  if (job.openTaskCount === 0) {
    endJob(state, job, { outcome: { type: "completed" }, nowMs });
    return;
  }
  if (!job.tasks.some(hasUsedAttempts)) return;
  endJob(state, job, {
    outcome: { type: "failed", reason: "attemptsUsed" },
    nowMs,
  });
}

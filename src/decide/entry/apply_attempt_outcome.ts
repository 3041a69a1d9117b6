import { advanceChart } from "../../charts/advance_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import type { AttemptOutcome } from "../job/attempt_outcome.ts";
import type { Failure } from "../job/failure.ts";
import { decideRetry } from "../retry/decide_retry.ts";
import { changeWaitingCounts } from "../route/change_waiting_counts.ts";
import { endAttempt } from "../route/end_attempt.ts";
import { enqueueTask } from "../route/enqueue_task.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { Attempt } from "./attempt.ts";
import { changeJobBytes } from "./change_job_bytes.ts";
import { completeJob } from "./complete_job.ts";
import type { EntryState } from "./entry_state.ts";
import { failJob } from "./fail_job.ts";

/**
 * Applies the outcome of an attempt: the task succeeds, is retried or fails its
 * job. An unknown attempt id is ignored.
 */
export function applyAttemptOutcome(
  state: EntryState,
  attemptId: number,
  options: { outcome: AttemptOutcome; clock: ClockReading },
): void {
  const attempt = state.attempts.get(attemptId);
  if (!attempt) return;
  state.attempts.delete(attemptId);
  const nowMs = options.clock.monotonicMs;
  const { outcome } = options;
  const tookMs = nowMs - attempt.startedAtMs;
  endAttempt(state.scheduler, attempt, { outcome, tookMs, nowMs });
  const task = attempt.job.tasks[attempt.index];
  if (task.phase !== "running") return;
  if (outcome.type === "refused" || outcome.type === "neverSent") {
    task.mayHaveRun = task.failures > 0;
  }
  if (outcome.type === "failed") task.failures += 1;
  if (outcome.type === "done") {
    finishTask(state, attempt, outcome.result, nowMs);
  } else if (
    decideRetry(task, outcome, {
      policy: state.scheduler.policy,
      budget: state.scheduler.retryBudget,
    })
  ) retryTask(state, attempt, outcome);
  else failTask(state, attempt, { outcome, nowMs });
}

function finishTask(
  state: EntryState,
  attempt: Attempt,
  result: string,
  nowMs: number,
): void {
  const { job } = attempt;
  const task = job.tasks[attempt.index];
  task.phase = advanceChart(taskChart, task.phase, "finish");
  task.result = result;
  changeJobBytes(state, job, Buffer.byteLength(result));
  job.unfinishedTasks -= 1;
  if (job.unfinishedTasks === 0) completeJob(state, job, nowMs);
}

function retryTask(
  state: EntryState,
  attempt: Attempt,
  outcome: AttemptOutcome,
): void {
  const { job, index, endpointId } = attempt;
  const task = job.tasks[index];
  task.phase = advanceChart(taskChart, task.phase, "retry");
  if (!task.triedEndpoints.includes(endpointId)) {
    task.triedEndpoints.push(endpointId);
  }
  task.reason = `waits again: ${outcome.type} at ${endpointId}`;
  changeWaitingCounts(state.scheduler, job, { index, by: 1 });
  enqueueTask(state.scheduler, { job, index });
}

function failTask(
  state: EntryState,
  attempt: Attempt,
  options: { outcome: AttemptOutcome; nowMs: number },
): void {
  const { job, index, endpointId } = attempt;
  const task = job.tasks[index];
  task.phase = advanceChart(taskChart, task.phase, "fail");
  const failure = createFailure(options.outcome, { index, endpointId });
  failJob(state, job, { failure, nowMs: options.nowMs });
}

function createFailure(
  outcome: AttemptOutcome,
  attempt: { index: number; endpointId: string },
): Failure {
  const message = "message" in outcome ? outcome.message : outcome.type;
  const where = `Task ${attempt.index} at endpoint '${attempt.endpointId}'`;
  if (outcome.type === "unknown") {
    return {
      kind: "outcomeUnknown",
      message:
        `${where}: ${message}; whether it ran is not known, so check before submitting under a new id`,
    };
  }
  return {
    kind: "taskFailed",
    message:
      `${where}: ${message}; no attempt is left, so correct the task or try later under a new id`,
  };
}

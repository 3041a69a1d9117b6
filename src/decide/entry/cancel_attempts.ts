import { advanceChart } from "../../charts/advance_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import type { JobState } from "../job/job_state.ts";
import type { Attempt } from "./attempt.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Cancels the running tasks of a job; sends a cancellation to the endpoint only
 * if it is expected to save enough run time.
 */
export function cancelAttempts(
  state: EntryState,
  job: JobState,
  nowMs: number,
): void {
  if (!job.tasks.some((task) => task.phase === "running")) return;
  for (const attempt of state.attempts.values()) {
    if (attempt.job !== job) continue;
    const task = job.tasks[attempt.index];
    if (task.phase !== "running") continue;
    task.phase = advanceChart(taskChart, task.phase, "cancel");
    if (!isWorthCancelling(state, attempt, nowMs)) continue;
    state.outbox.push({
      type: "cancelTask",
      attemptId: attempt.id,
      endpointId: attempt.endpointId,
      taskKey: `${job.key}/${attempt.index}`,
    });
  }
}

/** Returns whether the expected remaining run time is at least `policy.cancelWorthMs`. */
function isWorthCancelling(
  state: EntryState,
  attempt: Attempt,
  nowMs: number,
): boolean {
  const endpoint = state.scheduler.endpoints.get(attempt.endpointId);
  const task = attempt.job.tasks[attempt.index];
  const expectedMs = task.expectedMs * (endpoint?.slowness ?? 1);
  const remainingMs = attempt.startedAtMs + expectedMs - nowMs;
  return remainingMs >= state.scheduler.policy.cancelWorthMs;
}

import { advanceChart } from "../../charts/advance_chart.ts";
import { jobChart } from "../../charts/job_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import type { Failure } from "../job/failure.ts";
import type { JobState } from "../job/job_state.ts";
import { changeWaitingCounts } from "../route/change_waiting_counts.ts";
import { cancelAttempts } from "./cancel_attempts.ts";
import { recordOutcome } from "./record_outcome.ts";
import { endJob } from "./end_job.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Fails a claimed job at once: cancels its unfinished tasks, records the
 * outcome and answers its callers.
 */
export function failJob(
  state: EntryState,
  job: JobState,
  options: { failure: Failure; nowMs: number },
): void {
  const { failure, nowMs } = options;
  job.phase = advanceChart(jobChart, job.phase, "fail");
  const mayHaveRun = job.tasks.some((task) => task.mayHaveRun);
  cancelWaitingTasks(state, job);
  cancelAttempts(state, job, nowMs);
  const { key, digest, shard } = job;
  const record = { type: "failed" as const, key, digest, failure, mayHaveRun };
  recordOutcome(shard, record, nowMs);
  endJob(state, job, {
    answer: { status: "failed", failure, mayHaveRun },
    nowMs,
  });
}

function cancelWaitingTasks(state: EntryState, job: JobState): void {
  job.tasks.forEach((task, index) => {
    if (task.phase === "waiting") {
      changeWaitingCounts(state.scheduler, job, { index, by: -1 });
    }
    if (task.phase === "waiting" || task.phase === "held") {
      task.phase = advanceChart(taskChart, task.phase, "cancel");
    }
  });
}

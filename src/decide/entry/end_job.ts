import type { JobAnswer } from "../job/job_answer.ts";
import type { JobState } from "../job/job_state.ts";
import { countRequestBytes } from "../job/count_request_bytes.ts";
import { changeJobBytes } from "./change_job_bytes.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Sets the final answer of a job, sends it to the waiting callers, and updates
 * the counts of open tasks and jobs.
 */
export function endJob(
  state: EntryState,
  job: JobState,
  options: { answer: JobAnswer; nowMs: number },
): void {
  job.answer = options.answer;
  job.endedAtMs = options.nowMs;
  state.ended.push(job);
  job.shard.openJobs -= 1;
  const share = state.scheduler.clients.get(job.client);
  if (share) share.open -= job.tasks.length;
  for (const callerId of job.callers) {
    state.outbox.push({
      type: "answerCaller",
      callerId,
      answer: options.answer,
    });
  }
  job.callers = [];
  dropRequests(state, job);
}

/** Frees the requests of a job, and the results unless they are its answer. */
function dropRequests(state: EntryState, job: JobState): void {
  const { answer, tasks } = job;
  const bytes = answer?.status === "complete"
    ? countRequestBytes(answer.results.map((body) => ({ body })))
    : 0;
  changeJobBytes(state, job, bytes - job.bytes);
  for (const task of tasks) {
    task.request = { ...task.request, body: "" };
    if (bytes === 0) task.result = undefined;
  }
}

import type { JobAnswer } from "../job/job_answer.ts";
import type { JobState } from "../job/job_state.ts";
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
}

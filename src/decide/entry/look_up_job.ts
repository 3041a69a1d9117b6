import { createJobKey } from "../job/create_job_key.ts";
import type { ShardState } from "../own/shard_state.ts";
import { answerFromLog } from "./answer_from_log.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Answers a look-up of a job from memory, once the job has ended, or from the
 * shard log; refuses it when the job is not known.
 */
export function lookUpJob(
  state: EntryState,
  job: { client: string; submissionId: string; callerId: string },
  shard: ShardState | undefined,
): void {
  const key = createJobKey(job.client, job.submissionId);
  const { callerId } = job;
  const jobState = state.jobs.get(key);
  const known = shard?.known.get(key);
  if (jobState?.answer) {
    const { answer } = jobState;
    state.outbox.push({ type: "answerCaller", callerId, answer });
  } else if (jobState) {
    jobState.callers.push(callerId);
  } else if (known) {
    answerFromLog(state, known, { key, callerId });
  } else {
    const message =
      "No such job is known; submit it, with the same id if it may have been submitted before";
    const failure = { kind: "notFound" as const, message };
    state.outbox.push({
      type: "answerCaller",
      callerId,
      answer: { status: "refused", failure, notRun: false },
    });
  }
}

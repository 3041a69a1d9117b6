import { admitJob } from "../admit/admit_job.ts";
import { createJobKey } from "../job/create_job_key.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { JobAnswer } from "../job/job_answer.ts";
import { isCutOff } from "../own/is_cut_off.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import { createReusedAnswer } from "../job/create_reused_answer.ts";
import { answerFromLog } from "./answer_from_log.ts";
import { claimJob } from "./claim_job.ts";
import type { EntryState } from "./entry_state.ts";
import { findSubmissionRefusal } from "./find_submission_refusal.ts";
import type { Submission } from "./submission.ts";
import { startFromMemory } from "./start_from_memory.ts";

/** Told to callers while a shard changes its holder, in ms. */
const MOVING_RETRY_AFTER_MS = 500;

/** Takes a submission: attaches it to its job, answers it from the log, refuses it, or claims it. */
export function submitJob(
  state: EntryState,
  submission: Submission,
  clock: ClockReading,
): void {
  const { request, callerId } = submission;
  const key = createJobKey(request.client, request.submissionId);
  if (attachToJob(state, submission, key)) return;
  const shard = state.shards.get(submission.shard);
  if (!shard || shard.phase !== "active") {
    answer(state, callerId, createMovingAnswer());
    return;
  }
  const known = shard.known.get(key);
  if (known) {
    answerFromLog(state, known, { ...submission, key });
    return;
  }
  const refusal = findSubmissionRefusal(state, shard, { submission, clock });
  if (refusal) {
    answer(state, callerId, refusal);
    return;
  }
  admitAndClaim(state, shard, { submission, key, clock });
}

function attachToJob(
  state: EntryState,
  submission: Submission,
  key: string,
): boolean {
  const job = state.jobs.get(key);
  if (!job) return false;
  if (job.digest !== submission.digest) {
    answer(state, submission.callerId, createReusedAnswer());
  } else if (job.answer) {
    answer(state, submission.callerId, job.answer);
  } else {
    job.callers.push(submission.callerId);
  }
  return true;
}

function admitAndClaim(
  state: EntryState,
  shard: ShardState,
  options: { submission: Submission; key: string; clock: ClockReading },
): void {
  const { submission, key, clock } = options;
  const { request, callerId } = submission;
  const client = state.version.configuration.clients[request.client];
  if (!client || client.suspended) {
    const kind = client ? "clientSuspended" : "clientUnknown";
    const message =
      `The client '${request.client}' may not submit jobs now; ask the operators`;
    answer(state, callerId, createRefusal(kind, { message }));
    return;
  }
  const admission = admitJob(state.scheduler, request, client);
  if (admission.type === "refused") {
    answer(state, callerId, admission.answer);
    return;
  }
  const job = claimJob(state, shard, {
    ...submission,
    key,
    admission,
    weight: client.weight,
    nowMs: clock.monotonicMs,
  });
  if (isCutOff(state.lease, clock)) startFromMemory(state, job);
}

function answer(
  state: EntryState,
  callerId: string,
  jobAnswer: JobAnswer,
): void {
  state.outbox.push({ type: "answerCaller", callerId, answer: jobAnswer });
}

function createMovingAnswer(): JobAnswer {
  return {
    status: "refused",
    failure: {
      kind: "notOwner",
      message: "The job's shard is changing its holder; ask again",
    },
    notRun: false,
    retryAfterMs: MOVING_RETRY_AFTER_MS,
  };
}

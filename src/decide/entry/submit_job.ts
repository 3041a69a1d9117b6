import { admitJob } from "../admit/admit_job.ts";
import { createJobKey } from "../job/create_job_key.ts";
import { countRequestBytes } from "../job/count_request_bytes.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { JobAnswer } from "../job/job_answer.ts";
import { isCutOff } from "../own/is_cut_off.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import { createReusedIdRefusal } from "../job/create_reused_id_refusal.ts";
import { answerFromLog } from "./answer_from_log.ts";
import { claimJob } from "./claim_job.ts";
import type { EntryState } from "./entry_state.ts";
import { hasSpaceForBytes } from "./has_space_for_bytes.ts";
import { findSubmissionRefusal } from "./find_submission_refusal.ts";
import type { Submission } from "./submission.ts";
import { startWithoutDurableClaim } from "./start_without_durable_claim.ts";

/** Retry delay that is returned to callers while the holder of a shard changes. */
const HOLDER_CHANGE_RETRY_AFTER_MS = 500;
/** Retry delay that is returned to callers while there is no memory for their jobs, in ms. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;

/**
 * Handles a submission: a resubmission is attached to its job or answered from
 * the shard log; a new job is refused, or admitted and claimed.
 */
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
    answerCaller(state, callerId, createHolderChangeRefusal());
    return;
  }
  const known = shard.known.get(key);
  if (known) {
    answerFromLog(state, known, { ...submission, key });
    return;
  }
  const refusal = findSubmissionRefusal(state, shard, { submission, clock });
  if (refusal) {
    answerCaller(state, callerId, refusal);
    return;
  }
  admitAndClaim(state, shard, { submission, key, clock });
}

/**
 * Adds the caller to the job of the same submission, if it is in memory;
 * returns whether there is one.
 */
function attachToJob(
  state: EntryState,
  submission: Submission,
  key: string,
): boolean {
  const job = state.jobs.get(key);
  if (!job) return false;
  if (job.digest !== submission.digest) {
    answerCaller(state, submission.callerId, createReusedIdRefusal());
  } else if (job.answer) {
    answerCaller(state, submission.callerId, job.answer);
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
    answerCaller(state, callerId, createRefusal(kind, { message }));
    return;
  }
  if (!hasSpaceForBytes(state, countRequestBytes(request.tasks), clock)) {
    const message =
      "The entry has no memory for a further job of this size now; try again";
    const refusal = createRefusal("overloaded", {
      message,
      retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
    });
    answerCaller(state, callerId, refusal);
    return;
  }
  const admission = admitJob(state.scheduler, request, client);
  if (admission.type === "refused") {
    answerCaller(state, callerId, admission.answer);
    return;
  }
  const job = claimJob(state, shard, {
    ...submission,
    key,
    admission,
    weight: client.weight,
    nowMs: clock.monotonicMs,
  });
  if (isCutOff(state.lease, clock)) startWithoutDurableClaim(state, job);
}

function answerCaller(
  state: EntryState,
  callerId: string,
  answer: JobAnswer,
): void {
  state.outbox.push({ type: "answerCaller", callerId, answer });
}

function createHolderChangeRefusal(): JobAnswer {
  return {
    status: "refused",
    failure: {
      kind: "notOwner",
      message: "The job's shard is changing its holder; ask again",
    },
    notRun: false,
    retryAfterMs: HOLDER_CHANGE_RETRY_AFTER_MS,
  };
}

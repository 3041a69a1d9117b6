import { admitJob } from "../admit/admit_job.ts";
import { readIdTime } from "../claim/read_id_time.ts";
import { createJobKey } from "../job/create_job_key.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { JobAnswer } from "../job/job_answer.ts";
import type { JobRequest } from "../job/job_request.ts";
import { isCutOff } from "../own/is_cut_off.ts";
import { isLeaseValid } from "../own/is_lease_valid.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import { answerKnown } from "./answer_known.ts";
import { claimJob } from "./claim_job.ts";
import type { EntryState } from "./entry_state.ts";
import { canStartFromMemory } from "./can_start_from_memory.ts";
import { startFromMemory } from "./start_from_memory.ts";

/** Told to callers while a shard changes its holder, in ms. */
const MOVING_RETRY_AFTER_MS = 500;
/** Told to callers while the platform is out of reach, in ms. */
const PLATFORM_RETRY_AFTER_MS = 2_000;
/** Told to callers of a process that is stopping, in ms. */
const DRAINING_RETRY_AFTER_MS = 1_000;

/** One submission as it reached the shard's holder. */
type Submission = {
  request: JobRequest;
  digest: string;
  shard: number;
  callerId: string;
};

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
    answerKnown(state, known, { ...submission, key });
    return;
  }
  const refusal = findRefusal(state, shard, { submission, clock });
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

function findRefusal(
  state: EntryState,
  shard: ShardState,
  options: { submission: Submission; clock: ClockReading },
): JobAnswer | undefined {
  const { submission, clock } = options;
  const { policy } = state.version.configuration;
  const idTime = readIdTime(submission.request.submissionId);
  if (idTime !== undefined && isSuspect(shard, idTime)) {
    return createMayHaveRunAnswer();
  }
  if (idTime !== undefined && idTime < clock.wallMs - policy.retentionMs) {
    return createForgottenAnswer();
  }
  if (state.draining) {
    return createRefusal("draining", {
      message: "This entry is stopping; send the request again",
      retryAfterMs: DRAINING_RETRY_AFTER_MS,
    });
  }
  return findPlatformRefusal(state, submission, clock);
}

function findPlatformRefusal(
  state: EntryState,
  submission: Submission,
  clock: ClockReading,
): JobAnswer | undefined {
  if (!isLeaseValid(state.lease, clock)) return createPlatformRefusal();
  if (!isCutOff(state.lease, clock)) return undefined;
  const id = submission.request.submissionId;
  return canStartFromMemory(state, id, clock)
    ? undefined
    : createPlatformRefusal();
}

function isSuspect(shard: ShardState, idTimeMs: number): boolean {
  return shard.windows.some((window) =>
    idTimeMs > window.fromMs && idTimeMs <= window.toMs
  );
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

function createReusedAnswer(): JobAnswer {
  return createRefusal("submissionReused", {
    message:
      "The submission id was used before with other tasks; choose a new id",
  });
}

function createMayHaveRunAnswer(): JobAnswer {
  return {
    status: "failed",
    failure: {
      kind: "mayHaveRun",
      message:
        "The entry that held this id's shard was lost and may have run it; check before submitting under a new id",
    },
    mayHaveRun: true,
  };
}

function createForgottenAnswer(): JobAnswer {
  return {
    status: "failed",
    failure: {
      kind: "mayHaveRun",
      message:
        "The submission id is older than submissions are remembered; check before submitting under a new id",
    },
    mayHaveRun: true,
  };
}

function createPlatformRefusal(): JobAnswer {
  return createRefusal("platformUnavailable", {
    message:
      "The platform is out of reach, so the job can't be claimed; try again, with a UUIDv7 made at that time as the id",
    retryAfterMs: PLATFORM_RETRY_AFTER_MS,
  });
}

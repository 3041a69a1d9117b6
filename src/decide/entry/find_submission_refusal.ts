import { readIdTime } from "../claim/read_id_time.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { JobAnswer } from "../job/job_answer.ts";
import { isCutOff } from "../own/is_cut_off.ts";
import { isLeaseValid } from "../own/is_lease_valid.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import { canStartFromMemory } from "./can_start_from_memory.ts";
import type { EntryState } from "./entry_state.ts";
import type { Submission } from "./submission.ts";

/** Told to callers while the platform is out of reach, in ms. */
const PLATFORM_RETRY_AFTER_MS = 2_000;
/** Told to callers of a process that is stopping, in ms. */
const DRAINING_RETRY_AFTER_MS = 1_000;

/** Finds why a submission that the log does not know can't be claimed now; undefined when it can. */
export function findSubmissionRefusal(
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

import { readIdTime } from "../claim/read_id_time.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { JobAnswer } from "../job/job_answer.ts";
import { isCutOff } from "../own/is_cut_off.ts";
import { isLeaseValid } from "../own/is_lease_valid.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import { canStartWithoutDurableClaim } from "./can_start_without_durable_claim.ts";
import type { EntryState } from "./entry_state.ts";
import type { Submission } from "./submission.ts";

/** Retry delay that is returned to callers while the platform is out of reach. */
const PLATFORM_RETRY_AFTER_MS = 2_000;
/** Retry delay that is returned to callers while the process is stopping. */
const DRAINING_RETRY_AFTER_MS = 1_000;

/**
 * Finds the reason why a submission without a record in the shard log cannot be
 * claimed now; undefined when it can. The job may have run before if its id is in
 * a suspect window or older than the retention period.
 */
export function findSubmissionRefusal(
  state: EntryState,
  shard: ShardState,
  options: { submission: Submission; clock: ClockReading },
): JobAnswer | undefined {
  const { submission, clock } = options;
  const { policy } = state.version.configuration;
  const createdAtMs = readIdTime(submission.request.submissionId);
  if (createdAtMs !== undefined && isSuspect(shard, createdAtMs)) {
    return createMayHaveRunAnswer();
  }
  if (
    createdAtMs !== undefined && createdAtMs < clock.wallMs - policy.retentionMs
  ) {
    return createExpiredIdAnswer();
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
  return canStartWithoutDurableClaim(state, id, clock)
    ? undefined
    : createPlatformRefusal();
}

/**
 * Returns whether a submission id that was created at this time is in a suspect
 * window of the shard.
 */
function isSuspect(shard: ShardState, createdAtMs: number): boolean {
  return shard.windows.some((window) =>
    createdAtMs > window.fromMs && createdAtMs <= window.toMs
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

function createExpiredIdAnswer(): JobAnswer {
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

import { isCutOff } from "../own/is_cut_off.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { JobState } from "../job/job_state.ts";
import { canStartWithoutDurableClaim } from "./can_start_without_durable_claim.ts";
import type { EntryState } from "./entry_state.ts";
import { refuseClaimingJob } from "./refuse_claiming_job.ts";
import { startWithoutDurableClaim } from "./start_without_durable_claim.ts";

/**
 * Longest wait for the confirmation of a claim, unless the job may start
 * without a durable claim.
 */
const CLAIM_TIMEOUT_MS = 1_000;
/** Retry delay that is returned to callers whose claim timed out. */
const RETRY_AFTER_MS = 2_000;

/**
 * Checks the jobs whose claims are not confirmed yet. Jobs that may start without
 * a durable claim are started if the process is cut off from the platform; other
 * jobs are refused after a time-out.
 */
export function checkPendingClaims(
  state: EntryState,
  clock: ClockReading,
): void {
  const cutOff = isCutOff(state.lease, clock);
  for (const shard of state.shards.values()) {
    for (
      const record of [...(shard.inFlight?.records ?? []), ...shard.claims]
    ) {
      if (record.type !== "claim") continue;
      const job = state.jobs.get(record.key);
      if (job?.phase !== "claiming") continue;
      checkPendingClaim(state, job, { cutOff, clock });
    }
  }
}

function checkPendingClaim(
  state: EntryState,
  job: JobState,
  options: { cutOff: boolean; clock: ClockReading },
): void {
  const { cutOff, clock } = options;
  const canStart = canStartWithoutDurableClaim(state, job.submissionId, clock);
  if (cutOff && canStart) {
    startWithoutDurableClaim(state, job);
    return;
  }
  const waitedMs = clock.monotonicMs - job.admittedAtMs;
  if (canStart || waitedMs < CLAIM_TIMEOUT_MS) return;
  refuseClaimingJob(state, job, {
    kind: "platformUnavailable",
    message:
      "The platform did not confirm the job's claim in time; try again later",
    retryAfterMs: RETRY_AFTER_MS,
    nowMs: clock.monotonicMs,
  });
}

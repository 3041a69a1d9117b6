import { isCutOff } from "../own/is_cut_off.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { JobState } from "../job/job_state.ts";
import { canStartFromMemory } from "./can_start_from_memory.ts";
import type { EntryState } from "./entry_state.ts";
import { refuseClaimingJob } from "./refuse_claiming_job.ts";
import { startFromMemory } from "./start_from_memory.ts";

/** Longest wait for a claim that can't be replaced by memory, in ms. */
const MOST_CLAIM_WAIT_MS = 1_000;
/** Told to callers whose claim was given up, in ms. */
const RETRY_AFTER_MS = 2_000;

/** Starts or gives up jobs whose claims the platform does not confirm. */
export function reviewClaims(state: EntryState, clock: ClockReading): void {
  const cutOff = isCutOff(state.lease, clock);
  for (const shard of state.shards.values()) {
    for (
      const record of [...(shard.inFlight?.records ?? []), ...shard.claims]
    ) {
      if (record.type !== "claim") continue;
      const job = state.jobs.get(record.key);
      if (job?.phase !== "claiming") continue;
      reviewClaim(state, job, { cutOff, clock });
    }
  }
}

function reviewClaim(
  state: EntryState,
  job: JobState,
  options: { cutOff: boolean; clock: ClockReading },
): void {
  const { cutOff, clock } = options;
  const young = canStartFromMemory(state, job.submissionId, clock);
  if (cutOff && young) {
    startFromMemory(state, job);
    return;
  }
  const waitedMs = clock.monotonicMs - job.admittedAtMs;
  if (young || waitedMs < MOST_CLAIM_WAIT_MS) return;
  refuseClaimingJob(state, job, {
    kind: "platformUnavailable",
    message:
      "The platform did not confirm the job's claim in time; try again later",
    retryAfterMs: RETRY_AFTER_MS,
    nowMs: clock.monotonicMs,
  });
}

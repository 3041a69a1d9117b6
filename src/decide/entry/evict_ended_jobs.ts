import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";
import { evictEndedJob } from "./evict_ended_job.ts";

/** Time for which the answer of an ended job stays in memory for resubmissions. */
const ANSWER_RETENTION_MS = 60_000;

/**
 * Evicts jobs whose answer retention time is over; their shard keeps the state
 * of the submission without its results.
 */
export function evictEndedJobs(state: EntryState, clock: ClockReading): void {
  const nowMs = clock.monotonicMs;
  let count = 0;
  for (const job of state.ended) {
    if ((job.endedAtMs ?? nowMs) + ANSWER_RETENTION_MS > nowMs) break;
    count += 1;
    evictEndedJob(state, job, clock);
  }
  if (count > 0) state.ended.splice(0, count);
}

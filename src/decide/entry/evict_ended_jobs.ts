import type { ClockReading } from "../../utils/clock_reading.ts";
import type { JobState } from "../job/job_state.ts";
import type { EntryState } from "./entry_state.ts";

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
    evictJob(state, job, clock);
  }
  if (count > 0) state.ended.splice(0, count);
}

function evictJob(
  state: EntryState,
  job: JobState,
  clock: ClockReading,
): void {
  if (state.jobs.get(job.key) !== job) return;
  state.jobs.delete(job.key);
  const failed = job.answer?.status === "failed" ? job.answer : undefined;
  const shard = state.shards.get(job.shard.index) ?? job.shard;
  shard.known.set(job.key, {
    digest: job.digest,
    status: job.phase === "complete" ? "complete" : "failed",
    owner: "",
    incarnation: state.lease.incarnation,
    atMs: clock.wallMs,
    failure: failed?.failure,
    mayHaveRun: failed?.mayHaveRun,
    answer: job.answerObject,
  });
}

import type { ClockReading } from "../../utils/clock_reading.ts";
import type { JobState } from "../job/job_state.ts";
import { changeJobBytes } from "./change_job_bytes.ts";
import type { EntryState } from "./entry_state.ts";

/** Evicts an ended job; its shard keeps the state of the submission without its results. */
export function evictEndedJob(
  state: EntryState,
  job: JobState,
  clock: ClockReading,
): void {
  changeJobBytes(state, job, -job.bytes);
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

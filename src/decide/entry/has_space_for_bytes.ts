import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";
import { evictEndedJob } from "./evict_ended_job.ts";

/** Whether there is memory for the requests of a further job; ended jobs whose answers are stored are evicted for it, the oldest first. A job that is alone always has space. */
export function hasSpaceForBytes(
  state: EntryState,
  bytes: number,
  clock: ClockReading,
): boolean {
  const isFull = () =>
    state.jobBytes > 0 && state.jobBytes + bytes > state.maxJobBytes;
  if (!isFull()) return true;
  state.ended = state.ended.filter((job) => {
    if (!job.isAnswerStored || !isFull()) return true;
    evictEndedJob(state, job, clock);
    return false;
  });
  return !isFull();
}

import { acknowledgeSavedEnds } from "./acknowledge_saved_ends.ts";
import type { RunEndId } from "./run_end_id.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Records that the store has a stored job's changes, or its end, as they were when the write began. */
export function confirmJobStored(
  state: SchedulerState,
  job: ScheduledJob,
  write: {
    /** Run ends whose effect the write contains. */
    ends: RunEndId[];
    /** Whether the end of the job was written. */
    isEnd: boolean;
    /** The job's number of changes of lost runs when the write began. */
    lossChanges: number;
    nowMs: number;
  },
): void {
  job.savedLossChanges = write.lossChanges;
  if (write.isEnd) job.endStoredMs = write.nowMs;
  acknowledgeSavedEnds(state, write.ends);
}

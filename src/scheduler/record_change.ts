import type { RunEndId } from "./run_end_id.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes note that a stored job has changed; an end that changed it is confirmed to its endpoint only once it is stored. */
export function recordChange(
  state: SchedulerState,
  job: ScheduledJob,
  mark?: RunEndId,
): void {
  if (!job.order.isKept) return;
  state.unsaved.add(job);
  if (!mark) return;
  job.unsavedEnds.push(mark);
  state.endpoints.get(mark.endpointId)?.unacknowledgedEnds.set(
    mark.number,
    Infinity,
  );
}

import type { RunEndId } from "./run_end_id.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Records that a stored job has changed and must be saved. The endpoint goes on
 * listing the run end that changed the job until the change is in the store.
 */
export function recordJobChange(
  state: SchedulerState,
  job: ScheduledJob,
  endId?: RunEndId,
): void {
  if (!job.order.isKept) return;
  state.unsaved.add(job);
  if (!endId) return;
  job.unsavedEnds.push(endId);
  state.endpoints.get(endId.endpointId)?.unacknowledgedEnds.set(
    endId.number,
    Infinity,
  );
}

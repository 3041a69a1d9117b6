import { hasHiddenEnds } from "../scheduler/has_hidden_ends.ts";
import { isStoredJobRun } from "../scheduler/is_stored_job_run.ts";
import type { EndpointRecord } from "../scheduler/endpoint_record.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { canStartIn } from "./can_start_in.ts";

/** Time after which a scheduler without endpoints has read the list, so that there are none, in ms. */
const LIST_READ_MS = 3_000;

/**
 * Whether another group may run the stored jobs without a task running twice:
 * no task of them can start here, none runs here, and all that has happened is
 * in the store.
 */
export function canLeaveStoredJobs(
  state: SchedulerState,
  nowMs: number,
): boolean {
  const { endpoints } = state;
  if (!state.areStoredJobsRead || state.isReadingStoredJobs) return false;
  if (state.unsaved.size + state.countedStarts.size > 0) return false;
  if (state.missingEndpoints.size > 0) return false;
  const isListRead = endpoints.size > 0 ||
    nowMs - state.startedMs > LIST_READ_MS;
  return isListRead &&
    [...endpoints.values()].every((one) => isLeft(state, one)) &&
    [...state.jobs.values()].every(isSettled);
}

/** Whether the endpoint is evacuated, runs no task of a stored job and lists no run end that is not in the store. */
function isLeft(state: SchedulerState, endpoint: EndpointRecord): boolean {
  const { row, phase, runs, foreignRuns, unacknowledgedEnds } = endpoint;
  if (canStartIn(state, row.dataCentre) || phase === "unlisted") return false;
  if (unacknowledgedEnds.size > 0 || hasHiddenEnds(state, endpoint)) {
    return false;
  }
  return [...runs.values()].every(({ job }) => !job.order.isKept) &&
    [...foreignRuns.values()].every(({ run }) => !isStoredJobRun(run));
}

/** Whether the store has all that is known of a stored job; true of other jobs. */
function isSettled(job: ScheduledJob): boolean {
  if (!job.order.isKept) return true;
  if (job.outcome) return job.endStoredMs !== undefined;
  return job.unsavedEnds.length === 0 &&
    job.savedLossChanges === job.lossChanges &&
    job.tasks.every(({ heldUntilMs }) => heldUntilMs === 0);
}

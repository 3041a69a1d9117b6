import { canStartIn } from "../evacuation/can_start_in.ts";
import type { CountedStart } from "./counted_start.ts";
import { dropRun } from "./drop_run.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { requestStart } from "./request_start.ts";
import { retryTask } from "./retry_task.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Longest time for which a start keeps its endpoint's resources while it is not in the store, in ms. */
const MAX_SAVE_MS = 500;

/** Requests the counted starts that are in the store, and requeues the tasks of those that can't be requested any more. */
export function requestCountedStarts(
  state: SchedulerState,
  nowMs: number,
): void {
  for (const [task, counted] of state.countedStarts) {
    const endpoint = state.endpoints.get(task.endpointId ?? "");
    const isCurrent = endpoint?.runs.get(task.name) === task &&
      task.run === counted.run;
    if (!endpoint || !isCurrent) {
      state.countedStarts.delete(task);
      continue;
    }
    if (canRequest(state, endpoint, { task, nowMs })) {
      if (task.job.savedLossChanges >= counted.lossChange) {
        state.countedStarts.delete(task);
        const { earlierRun } = counted;
        requestStart(state, endpoint, { task, earlierRun, nowMs });
        continue;
      }
      if (!isOverdue(counted, nowMs)) continue;
    }
    state.countedStarts.delete(task);
    dropRun(endpoint, task);
    retryTask(state, task, { reason: "notCounted", endpoint, nowMs });
  }
}

function canRequest(
  state: SchedulerState,
  { phase, row, foreignRuns }: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): boolean {
  if (phase !== "usable" || row.isDraining || foreignRuns.size > 0) {
    return false;
  }
  if (!canStartIn(state, row.dataCentre)) return false;
  // A run that another scheduler started may have ended the task meanwhile.
  if (start.task.phase === "done") return false;
  return !start.task.job.outcome && start.nowMs <= state.roleExclusiveUntilMs;
}

function isOverdue({ countedMs }: CountedStart, nowMs: number): boolean {
  return nowMs - countedMs > MAX_SAVE_MS;
}

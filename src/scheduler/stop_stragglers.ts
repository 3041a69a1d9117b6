import { isWorthMoving } from "../decide/is_worth_moving.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { hasLostRuns } from "./has_lost_runs.ts";
import { isWanted } from "./is_wanted.ts";
import { findExpectedRunMs } from "./find_expected_run_ms.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Maximum number of times that a task is moved. */
const MAX_MOVES = 2;

/** Stops stragglers: runs of jobs that would miss their objective and whose task would end sooner if started again at another endpoint. */
export function stopStragglers(state: SchedulerState, nowMs: number): void {
  for (const endpoint of state.endpoints.values()) {
    for (const task of endpoint.runs.values()) {
      if (isStraggler(state, task, nowMs)) stopRun(state, endpoint, task);
    }
  }
}

function isStraggler(
  state: SchedulerState,
  task: ScheduledTask,
  nowMs: number,
): boolean {
  const { job } = task;
  if (task.phase !== "running" || job.outcome || !isWanted(job)) {
    return false;
  }
  // Each further start may crash an endpoint.
  if (hasLostRuns(task)) return false;
  if (task.stoppedByMs > 0 || task.moveCount >= MAX_MOVES) return false;
  if (task.expectedEndMs <= job.objectiveMs) return false;
  const runMs = findExpectedRunMs(state, task);
  if (runMs === undefined) return false;
  const other = chooseEndpoint(state, task, nowMs);
  if (!other || other.row.id === task.endpointId) return false;
  return isWorthMoving({
    remainingMs: task.expectedEndMs - nowMs,
    newRunMs: runMs * other.slowness,
    stopMs: state.limits.stopMs,
  });
}

function stopRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): void {
  task.moveCount += 1;
  const { run } = task;
  const endpointId = endpoint.row.id;
  state.effects.push({ type: "stopRun", endpointId, task: task.name, run });
  recordEvent(state, "taskMoved", {
    task: task.name,
    run,
    endpoint: endpointId,
    progress: task.progress,
    slowness: Math.round(endpoint.slowness * 100) / 100,
  });
}

import { isWorthMoving } from "../decide/is_worth_moving.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { isWanted } from "./is_wanted.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** A task is moved at most this often. */
const MOST_MOVES = 2;

/** Stops runs that would end sooner if they were started again elsewhere. */
export function replaceStragglers(state: SchedulerState, nowMs: number): void {
  for (const endpoint of state.endpoints.values()) {
    for (const task of endpoint.runs.values()) {
      if (isStraggler(state, task, nowMs)) replaceRun(state, endpoint, task);
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
  if (task.clearMs > 0 || task.moves >= MOST_MOVES) return false;
  if (task.expectedEndMs <= job.objectiveMs) return false;
  const other = chooseEndpoint(state, task, nowMs);
  if (!other || other.row.id === task.endpointId) return false;
  return isWorthMoving({
    remainingMs: task.expectedEndMs - nowMs,
    freshMs: job.criticalPathMs * other.slowness,
    stopMs: state.limits.stopMs,
  });
}

function replaceRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): void {
  task.moves += 1;
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

import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Takes an endpoint's confirmation of a stop. A run that was not there yet can
 * never begin now; one that was there ends within the time a stop may take.
 */
export function applyStopReply(
  state: SchedulerState,
  run: { endpointId: string; task: string; run: number },
  nowMs: number,
): void {
  const endpoint = state.endpoints.get(run.endpointId);
  const task = endpoint?.runs.get(run.task);
  if (!task || task.run !== run.run) return;
  if (task.confirmedMs === 0) task.confirmedMs = nowMs;
  task.clearMs = nowMs + state.limits.stopMs;
}

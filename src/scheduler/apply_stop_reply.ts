import { confirmStart } from "./confirm_start.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Applies an endpoint's confirmation of a stop request. A run that the
 * endpoint had not started yet is never started; an active run ends within
 * `stopMs` of the scheduler's limits.
 */
export function applyStopReply(
  state: SchedulerState,
  run: { endpointId: string; task: string; run: number },
  nowMs: number,
): void {
  const endpoint = state.endpoints.get(run.endpointId);
  const task = endpoint?.runs.get(run.task);
  if (!endpoint || !task || task.run !== run.run) return;
  confirmStart(endpoint, task, { nowMs });
  task.stoppedByMs = nowMs + state.limits.stopMs;
}

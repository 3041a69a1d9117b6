import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** By then an earlier scheduler's leases have ended wherever it could not renew them, in ms. */
const UNACCOUNTED_MS = 2_500;

/** Frees tasks for placing once the endpoints that might run them have told what they run. */
export function reviewUnaccounted(state: SchedulerState, nowMs: number): void {
  let isAnyUnlisted = false;
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.phase === "unlisted") isAnyUnlisted = true;
  }
  const isOver = nowMs - state.beganMs > UNACCOUNTED_MS;
  const isAllListed = !isAnyUnlisted && state.endpoints.size > 0;
  for (const job of state.waiting) {
    for (const task of job.tasks) {
      if (!task.isUnaccounted) continue;
      if (isOver || isAllListed || isPlaceListed(state, task)) {
        task.isUnaccounted = false;
      }
    }
  }
}

function isPlaceListed(state: SchedulerState, task: ScheduledTask): boolean {
  if (task.endpointId === undefined) return false;
  const endpoint = state.endpoints.get(task.endpointId);
  return endpoint !== undefined && endpoint.phase !== "unlisted";
}

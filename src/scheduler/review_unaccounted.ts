import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** An endpoint that was never heard and left the list is reckoned with for this long, in ms: longer than cuts usually last. */
const MISSING_MS = 15_000;

/** Frees tasks for placing once the endpoints that might run them have told what they run. */
export function reviewUnaccounted(state: SchedulerState, nowMs: number): void {
  for (const [id, missedMs] of state.missing) {
    if (nowMs - missedMs > MISSING_MS) state.missing.delete(id);
  }
  const areAllListed = !state.isSolo && state.endpoints.size > 0 &&
    state.missing.size === 0 &&
    [...state.endpoints.values()].every(({ phase }) => phase === "usable");
  const oldestMs = findOldestListing(state);
  for (const job of state.waiting) {
    for (const task of job.tasks) {
      if (task.unaccountedUntilMs === 0) continue;
      const isOver = nowMs > task.unaccountedUntilMs;
      const isSettled = areAllListed && isListed(state, task, oldestMs);
      if (isOver || isSettled) task.unaccountedUntilMs = 0;
    }
  }
}

/** The oldest listing of all, by when it was asked for, in ms. */
function findOldestListing(state: SchedulerState): number {
  let oldestMs = Infinity;
  for (const { listedMs } of state.endpoints.values()) {
    oldestMs = Math.min(oldestMs, listedMs);
  }
  return oldestMs;
}

/** Whether the endpoint where the task was last known to be, or else any that may run it, has been heard and does not run it. */
function isListed(
  state: SchedulerState,
  task: ScheduledTask,
  oldestMs: number,
): boolean {
  if (task.endpointId === undefined) return oldestMs >= task.unaccountedSinceMs;
  const endpoint = state.endpoints.get(task.endpointId);
  return endpoint?.phase === "usable" &&
    endpoint.listedMs >= task.unaccountedSinceMs &&
    !endpoint.foreignRuns.has(task.name);
}

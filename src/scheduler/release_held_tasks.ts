import { hasHiddenEnds } from "./has_hidden_ends.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** How long an endpoint that left the store's list without answering may still have active runs, in ms; longer than network partitions usually last. */
const MISSING_ENDPOINT_MS = 15_000;

/** Releases held tasks once the endpoints that may run them have listed their runs, or the hold has timed out. */
export function releaseHeldTasks(state: SchedulerState, nowMs: number): void {
  for (const [id, missingSinceMs] of state.missingEndpoints) {
    if (nowMs - missingSinceMs > MISSING_ENDPOINT_MS) {
      state.missingEndpoints.delete(id);
    }
  }
  const endpoints = [...state.endpoints.values()];
  const areAllListed = !state.isSolo && state.endpoints.size > 0 &&
    state.missingEndpoints.size === 0 &&
    endpoints.every(({ phase }) => phase === "usable");
  const mayHideEnds = endpoints.some((one) => hasHiddenEnds(state, one));
  const oldestMs = findOldestListing(state);
  for (const job of state.waiting) {
    for (const task of job.tasks) {
      if (task.heldUntilMs === 0) continue;
      // A hidden end may be that of the task.
      if (mayHideEnds && job.order.isKept) continue;
      const isTimedOut = nowMs > task.heldUntilMs;
      const isReady = areAllListed && isRunRuledOut(state, task, oldestMs);
      if (isTimedOut || isReady) task.heldUntilMs = 0;
    }
  }
}

/** Finds when the oldest of all endpoints' latest listings was requested, in ms. */
function findOldestListing(state: SchedulerState): number {
  let oldestMs = Infinity;
  for (const { listingRequestedMs } of state.endpoints.values()) {
    oldestMs = Math.min(oldestMs, listingRequestedMs);
  }
  return oldestMs;
}

/** Whether a recent enough listing of the task's last known endpoint, or of every endpoint where that is unknown, shows no foreign run of the task. */
function isRunRuledOut(
  state: SchedulerState,
  task: ScheduledTask,
  oldestMs: number,
): boolean {
  if (task.endpointId === undefined) {
    return oldestMs >= task.listingsValidFromMs;
  }
  const endpoint = state.endpoints.get(task.endpointId);
  return endpoint?.phase === "usable" &&
    endpoint.listingRequestedMs >= task.listingsValidFromMs &&
    !endpoint.foreignRuns.has(task.name);
}

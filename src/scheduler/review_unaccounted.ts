import type { SchedulerState } from "./scheduler_state.ts";

/** Frees tasks for placing once the endpoints that might run them have told what they run. */
export function reviewUnaccounted(state: SchedulerState, nowMs: number): void {
  const areAllListed = !state.isSolo && state.endpoints.size > 0 &&
    [...state.endpoints.values()].every(({ phase }) => phase === "usable");
  for (const job of state.waiting) {
    for (const task of job.tasks) {
      if (task.unaccountedUntilMs === 0) continue;
      const isOver = nowMs > task.unaccountedUntilMs;
      const isSettled = task.endpointId === undefined
        ? areAllListed
        : isListed(state, task.endpointId, task.unaccountedSinceMs);
      if (isOver || isSettled) task.unaccountedUntilMs = 0;
    }
  }
}

function isListed(
  state: SchedulerState,
  endpointId: string,
  sinceMs: number,
): boolean {
  const endpoint = state.endpoints.get(endpointId);
  return endpoint?.phase === "usable" && endpoint.listedMs >= sinceMs;
}

import type { SchedulerState } from "../../src/scheduler/scheduler_state.ts";

/** Finds the open stored jobs that do not count as pending although no endpoint has started a task of theirs. */
export function findMissedPending(
  state: SchedulerState,
  hasStarted: (jobId: string) => boolean,
): string[] {
  return [...state.jobs.values()]
    .filter(({ order, hasKnownStart, outcome }) =>
      order.isKept && hasKnownStart && !outcome && !hasStarted(order.id)
    )
    .map(({ order }) => `${order.id} is not pending and has not started`);
}

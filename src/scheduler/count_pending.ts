import type { SchedulerState } from "./scheduler_state.ts";

/** Counts the stored jobs of each route of which no task is known to have begun. */
export function countPending(state: SchedulerState): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { order, isStarted, outcome } of state.jobs.values()) {
    if (!order.isKept || isStarted || outcome) continue;
    counts[order.route] = (counts[order.route] ?? 0) + 1;
  }
  return counts;
}

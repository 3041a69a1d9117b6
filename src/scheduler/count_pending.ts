import type { SchedulerState } from "./scheduler_state.ts";

/** Counts by route the open stored jobs of which no task is known to have started. */
export function countPending(state: SchedulerState): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { order, hasKnownStart, outcome } of state.jobs.values()) {
    if (!order.isKept || hasKnownStart || outcome) continue;
    counts[order.route] = (counts[order.route] ?? 0) + 1;
  }
  return counts;
}

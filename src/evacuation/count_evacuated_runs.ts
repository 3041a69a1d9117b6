import type { SchedulerState } from "../scheduler/scheduler_state.ts";

/** Counts the tasks that still run, or may run, in each evacuated data centre. */
export function countEvacuatedRuns(
  { evacuations, endpoints }: Pick<SchedulerState, "evacuations" | "endpoints">,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of evacuations?.dataCentres ?? []) counts.set(name, 0);
  if (counts.size === 0) return counts;
  for (const { row, runs, foreignRuns } of endpoints.values()) {
    const count = counts.get(row.dataCentre);
    if (count === undefined) continue;
    counts.set(row.dataCentre, count + runs.size + foreignRuns.size);
  }
  return counts;
}

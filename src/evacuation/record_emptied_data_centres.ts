import { recordEvent } from "../scheduler/record_event.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { countEvacuatedRuns } from "./count_evacuated_runs.ts";

/** Records the evacuated data centres in which the last task has ended. */
export function recordEmptiedDataCentres(
  state: SchedulerState,
  nowMs: number,
): void {
  const { occupiedSinceMs } = state;
  // Before the endpoints have been read nothing is known of their runs.
  if (occupiedSinceMs.size === 0 || state.endpoints.size === 0) return;
  const counts = countEvacuatedRuns(state);
  for (const [dataCentre, sinceMs] of [...occupiedSinceMs]) {
    if ((counts.get(dataCentre) ?? 0) > 0) continue;
    if (hasUnlistedEndpoint(state, dataCentre)) continue;
    occupiedSinceMs.delete(dataCentre);
    recordEvent(state, "dataCentreEmptied", {
      dataCentre,
      tookMs: Math.round(nowMs - sinceMs),
    });
  }
}

function hasUnlistedEndpoint(
  { endpoints }: SchedulerState,
  dataCentre: string,
): boolean {
  return [...endpoints.values()].some(({ row, phase }) =>
    row.dataCentre === dataCentre && phase === "unlisted"
  );
}

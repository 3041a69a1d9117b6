import { placeTasks } from "../scheduler/place_tasks.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import type { Evacuations } from "./evacuations.ts";
import { hasSameDataCentres } from "./has_same_data_centres.ts";

/** Replaces the scheduler's list of evacuated data centres by one of a higher revision, and starts the tasks that may start now. */
export function applyEvacuations(
  state: SchedulerState,
  next: Evacuations | undefined,
  nowMs: number,
): void {
  const known = state.evacuations;
  if (!next || known && next.revision <= known.revision) return;
  state.evacuations = next;
  state.mayHaveClosed = next.dataCentres.length > 0;
  if (hasSameDataCentres(known, next)) return;
  const { occupiedSinceMs } = state;
  for (const dataCentre of next.dataCentres) {
    if (known?.dataCentres.includes(dataCentre)) continue;
    occupiedSinceMs.set(dataCentre, nowMs);
  }
  for (const dataCentre of [...occupiedSinceMs.keys()]) {
    if (next.dataCentres.includes(dataCentre)) continue;
    occupiedSinceMs.delete(dataCentre);
  }
  placeTasks(state, nowMs);
}

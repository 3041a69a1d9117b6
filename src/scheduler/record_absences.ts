import type { SchedulerState } from "./scheduler_state.ts";

/** Records of the lost runs whether their endpoints are in a list of the store that is known to be complete. */
export function recordAbsences(
  state: SchedulerState,
  listedIds: Set<string>,
  nowMs: number,
): void {
  for (const { lostRuns } of state.suspects) {
    for (const lost of lostRuns) {
      if (listedIds.has(lost.endpointId)) lost.goneMs = undefined;
      else lost.goneMs ??= nowMs;
    }
  }
}

import type { RunEndId } from "./run_end_id.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Lets endpoints drop run ends from their listings once the store has recorded the effect of those ends. */
export function acknowledgeSavedEnds(
  state: SchedulerState,
  ends: RunEndId[],
): void {
  for (const { endpointId, processStartMs, number } of ends) {
    const endpoint = state.endpoints.get(endpointId);
    if (endpoint?.processStartMs === processStartMs) {
      endpoint.unacknowledgedEnds.delete(number);
    }
  }
}

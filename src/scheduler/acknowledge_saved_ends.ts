import type { RunEndId } from "./run_end_id.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Lets endpoints forget ends that the store knows of by now. */
export function acknowledgeSavedEnds(
  state: SchedulerState,
  marks: RunEndId[],
): void {
  for (const { endpointId, processStartMs, number } of marks) {
    const endpoint = state.endpoints.get(endpointId);
    if (endpoint?.processStartMs === processStartMs) {
      endpoint.unacknowledgedEnds.delete(number);
    }
  }
}

import type { EndMark } from "./end_mark.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Lets endpoints forget ends that the store knows of by now. */
export function settleEnds(state: SchedulerState, marks: EndMark[]): void {
  for (const { endpointId, bornMs, number } of marks) {
    const endpoint = state.endpoints.get(endpointId);
    if (endpoint?.bornMs === bornMs) endpoint.unsettled.delete(number);
  }
}

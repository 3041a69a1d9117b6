import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Marks an endpoint as taken over by a later scheduler; its runs count as ended once this scheduler's lease on it has expired. */
export function setEndpointTakenOver(
  state: SchedulerState,
  endpointId: string,
): void {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.phase === "taken") return;
  endpoint.phase = "taken";
  recordEvent(state, "endpointTaken", {
    endpoint: endpointId,
    token: endpoint.token,
    runs: endpoint.runs.size,
  });
}

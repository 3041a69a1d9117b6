import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes it that an endpoint obeys a later scheduler; runs there are over when our lease is. */
export function setEndpointTaken(
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

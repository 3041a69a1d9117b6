import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes it that an endpoint does not answer; its runs are over when its lease is. */
export function setEndpointSilent(
  state: SchedulerState,
  endpointId: string,
  nowMs: number,
): void {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.phase !== "usable") return;
  endpoint.phase = "silent";
  recordEvent(state, "endpointSilent", {
    endpoint: endpointId,
    silentMs: Math.round(nowMs - endpoint.heardMs),
    runs: endpoint.runs.size,
  });
}

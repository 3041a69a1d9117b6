import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Marks a usable endpoint as unresponsive; its runs count as ended once its lease has expired. */
export function setEndpointUnresponsive(
  state: SchedulerState,
  endpointId: string,
  nowMs: number,
): void {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.phase !== "usable") return;
  endpoint.phase = "silent";
  recordEvent(state, "endpointSilent", {
    endpoint: endpointId,
    silentMs: Math.round(nowMs - endpoint.lastReplyMs),
    runs: endpoint.runs.size,
  });
}

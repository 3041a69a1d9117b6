import { recordEvent } from "./record_event.ts";
import { recordLostRuns } from "./record_lost_runs.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { SilenceCause } from "./silence_cause.ts";

/** Marks a usable endpoint as unresponsive; its runs count as ended once its lease has expired. */
export function setEndpointUnresponsive(
  state: SchedulerState,
  endpointId: string,
  silence: { cause: SilenceCause; nowMs: number },
): void {
  const { cause, nowMs } = silence;
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint || endpoint.phase !== "usable") return;
  endpoint.phase = "silent";
  recordEvent(state, "endpointSilent", {
    endpoint: endpointId,
    silentMs: Math.round(nowMs - endpoint.lastReplyMs),
    runs: endpoint.runs.size,
    how: cause,
  });
  recordLostRuns(state, endpoint, { cause, nowMs });
}

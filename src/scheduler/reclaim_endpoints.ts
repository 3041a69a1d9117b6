import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Takes back, under a later token, what VMs of some data centres had used while they served alone. */
export function reclaimEndpoints(
  state: SchedulerState,
  token: number,
  dataCentres: Set<string>,
): void {
  for (const [id, endpoint] of state.endpoints) {
    const isBack = dataCentres.has(endpoint.row.dataCentre);
    if (endpoint.phase === "usable" || !isBack) continue;
    endpoint.token = token;
    recordEvent(state, "endpointReclaimed", { endpoint: id, token });
  }
}

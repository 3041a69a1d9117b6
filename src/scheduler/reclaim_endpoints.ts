import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Reclaims, with a later fencing token, the endpoints of some data centres that solo VMs there have taken over. */
export function reclaimEndpoints(
  state: SchedulerState,
  token: number,
  dataCentres: Set<string>,
): void {
  for (const [id, endpoint] of state.endpoints) {
    const isIncluded = dataCentres.has(endpoint.row.dataCentre);
    if (endpoint.phase === "usable" || !isIncluded) continue;
    endpoint.token = token;
    recordEvent(state, "endpointReclaimed", { endpoint: id, token });
  }
}

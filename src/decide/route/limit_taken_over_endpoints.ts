import type { SlotsInUse } from "../own/slots_in_use.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Lowers the limits of newly owned endpoints by the slots that the earlier owner
 * still uses. Each task that succeeds raises the limit again.
 */
export function limitTakenOverEndpoints(
  scheduler: EntrySchedulerState,
  inUse: SlotsInUse[],
): void {
  for (const { endpointId, count } of inUse) {
    const endpoint = scheduler.endpoints.get(endpointId);
    if (!endpoint) continue;
    endpoint.limit = Math.max(1, endpoint.slots - count);
  }
}

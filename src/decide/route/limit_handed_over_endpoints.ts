import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Limits endpoints that this entry has handed over to the slots that it uses
 * now; slots that become free belong to the new owner. `ownedIds` contains the
 * ids of the endpoints that this entry owns.
 */
export function limitHandedOverEndpoints(
  scheduler: EntrySchedulerState,
  ownedIds: Set<string>,
): void {
  for (const endpoint of scheduler.endpoints.values()) {
    endpoint.isHandedOver = !ownedIds.has(endpoint.id);
    if (!endpoint.isHandedOver) continue;
    endpoint.limit = Math.min(endpoint.limit, endpoint.inFlight);
  }
}

import type { ClientShare } from "./client_share.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Finds the share of a client, or creates it. A client without queued tasks is
 * moved up to the current virtual time, so that it cannot save up service while
 * it is idle.
 */
export function findOrCreateClientShare(
  scheduler: EntrySchedulerState,
  client: string,
  weight: number,
): ClientShare {
  let share = scheduler.clients.get(client);
  if (!share) {
    share = {
      virtualTimeMs: scheduler.virtualTimeMs,
      weight,
      queued: 0,
      open: 0,
    };
    scheduler.clients.set(client, share);
  }
  if (share.queued === 0) {
    share.virtualTimeMs = Math.max(
      share.virtualTimeMs,
      scheduler.virtualTimeMs,
    );
  }
  return share;
}

import type { ClientShare } from "./client_share.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds a client's share, or opens one that starts level with the others. */
export function openShare(
  scheduler: SchedulerState,
  client: string,
  weight: number,
): ClientShare {
  let share = scheduler.clients.get(client);
  if (!share) {
    share = { virtualMs: scheduler.virtualMs, weight, queued: 0, open: 0 };
    scheduler.clients.set(client, share);
  }
  if (share.queued === 0) {
    share.virtualMs = Math.max(share.virtualMs, scheduler.virtualMs);
  }
  return share;
}

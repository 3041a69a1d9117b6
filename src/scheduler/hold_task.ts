import type { ScheduledTask } from "./scheduled_task.ts";

/** Longest time for which a task is held, in ms. By then the leases of another scheduler have expired wherever it cannot renew them. */
const MAX_HOLD_MS = 2_500;

/** Holds a task: it does not start until the endpoints' listings show whether another scheduler's run of it is active. */
export function holdTask(
  task: ScheduledTask,
  from: {
    nowMs: number;
    /** Listings requested before this do not count, as the other scheduler may have acted since, in ms. */
    sinceMs: number;
  },
): void {
  task.heldUntilMs = from.nowMs + MAX_HOLD_MS;
  task.isHoldCounted = false;
  task.listingsValidFromMs = from.sinceMs;
}

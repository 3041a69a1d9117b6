import { computeEndpointClock } from "./compute_endpoint_clock.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Records that the endpoint runs the task's latest run, unless that is known. `clockMs` is the endpoint's clock when it said so, if it gave it. */
export function confirmStart(
  endpoint: EndpointRecord,
  task: ScheduledTask,
  at: { nowMs: number; clockMs?: number },
): void {
  if (task.startConfirmedMs > 0) return;
  task.startConfirmedMs = at.nowMs;
  task.startedClockMs = at.clockMs ?? computeEndpointClock(endpoint, at.nowMs);
}

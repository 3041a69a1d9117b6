import { computeEndpointClock } from "./compute_endpoint_clock.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Emits the request to start a task's latest run, and the notification of its VMs. */
export function requestStart(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; earlierRun: number; nowMs: number },
): void {
  const { task, earlierRun, nowMs } = start;
  const { job } = task;
  task.startSentMs = nowMs;
  const endpointId = endpoint.row.id;
  const leaseEndMs = Math.floor(
    computeEndpointClock(endpoint, nowMs) + state.limits.leaseMs,
  );
  endpoint.leaseEndMs = Math.max(endpoint.leaseEndMs, leaseEndMs);
  const vms = [...job.vms];
  state.effects.push({
    type: "notifyPlaced",
    vms,
    task: task.name,
    endpointId,
  });
  const { run } = task;
  state.effects.push({ type: "startTask", endpointId, task, run, leaseEndMs });
  recordEvent(state, "taskPlaced", {
    task: task.name,
    run,
    endpoint: endpointId,
    token: endpoint.token,
    earlierRun,
    waitedMs: Math.round(nowMs - job.arrivedMs),
    usedCpu: endpoint.used.cpu,
    slowness: Math.round(endpoint.slowness * 100) / 100,
    heardAgoMs: Math.round(nowMs - endpoint.lastReplyMs),
  });
}

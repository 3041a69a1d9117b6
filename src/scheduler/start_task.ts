import { addRun } from "./add_run.ts";
import { computeEndpointClock } from "./compute_endpoint_clock.ts";
import { computeRunNumber } from "./compute_run_number.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import { recordJobChange } from "./record_job_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Starts a task at an endpoint: reserves its resources, and emits the start request and the notification of its VMs. */
export function startTask(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): void {
  const { task, nowMs } = start;
  const { job } = task;
  const earlierRun = task.run;
  task.run = computeRunNumber(task, endpoint.token);
  task.phase = "starting";
  task.startSentMs = nowMs;
  task.startConfirmedMs = 0;
  task.startedClockMs = 0;
  task.stoppedByMs = 0;
  task.progress = 0;
  task.expectedEndMs = 0;
  if (!job.mayHaveStarted) recordJobChange(state, job);
  job.mayHaveStarted = true;
  job.hasKnownStart = true;
  job.waitingTaskCount -= 1;
  if (job.waitingTaskCount === 0) state.waiting.delete(job);
  addRun(endpoint, task);
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

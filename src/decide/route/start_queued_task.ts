import { advanceChart } from "../../charts/advance_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import { changeWaiting } from "./change_waiting.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { QueuedTask } from "./queued_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Marks a task as running at an endpoint and charges its client. */
export function startQueuedTask(
  scheduler: SchedulerState,
  queued: QueuedTask,
  options: { endpoint: EndpointState; nowMs: number; free: number },
): void {
  const { endpoint, nowMs, free } = options;
  const { job, index } = queued;
  const task = job.tasks[index];
  task.phase = advanceChart(taskChart, task.phase, "start");
  task.attempts += 1;
  task.endpointId = endpoint.id;
  task.startedAtMs = nowMs;
  task.mayHaveRun = true;
  task.reason =
    `${scheduler.policy.routing}: slowness ${endpoint.slowness.toFixed(2)}, ` +
    `${free} endpoints free`;
  endpoint.inFlight += 1;
  changeWaiting(scheduler, job, { index, by: -1 });
  const share = scheduler.clients.get(job.client);
  if (!share) return;
  scheduler.virtualMs = Math.max(scheduler.virtualMs, share.virtualMs);
  share.virtualMs += task.expectedMs / share.weight;
}

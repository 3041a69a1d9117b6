import { advanceChart } from "../../charts/advance_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import { changeWaitingCounts } from "./change_waiting_counts.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { QueuedTask } from "./queued_task.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Marks a task as running at an endpoint and adds its expected run time to the
 * virtual time of the client.
 */
export function startQueuedTask(
  scheduler: EntrySchedulerState,
  queued: QueuedTask,
  options: {
    endpoint: EndpointState;
    nowMs: number;
    /** Number of endpoints with a free slot. */
    freeEndpointCount: number;
  },
): void {
  const { endpoint, nowMs, freeEndpointCount } = options;
  const { job, index } = queued;
  const task = job.tasks[index];
  task.phase = advanceChart(taskChart, task.phase, "start");
  task.attempts += 1;
  task.endpointId = endpoint.id;
  task.startedAtMs = nowMs;
  task.mayHaveRun = true;
  task.reason =
    `${scheduler.policy.routing}: slowness ${endpoint.slowness.toFixed(2)}, ` +
    `${freeEndpointCount} endpoints free`;
  endpoint.inFlight += 1;
  changeWaitingCounts(scheduler, job, { index, by: -1 });
  const share = scheduler.clients.get(job.client);
  if (!share) return;
  scheduler.virtualTimeMs = Math.max(
    scheduler.virtualTimeMs,
    share.virtualTimeMs,
  );
  share.virtualTimeMs += task.expectedMs / share.weight;
}

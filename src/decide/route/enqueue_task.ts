import { TaskQueue } from "../order/task_queue.ts";
import { chooseBoundEndpoint } from "./choose_bound_endpoint.ts";
import { isEarlyBinding } from "./is_early_binding.ts";
import type { QueuedTask } from "./queued_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Puts a waiting task in the queue that its way of routing names. */
export function enqueueTask(
  scheduler: SchedulerState,
  queued: QueuedTask,
): void {
  const name = chooseQueue(scheduler, queued);
  let queue = scheduler.queues.get(name);
  if (!queue) {
    queue = new TaskQueue();
    scheduler.queues.set(name, queue);
  }
  queue.push(queued);
}

function chooseQueue(scheduler: SchedulerState, queued: QueuedTask): string {
  const task = queued.job.tasks[queued.index];
  const { service } = task.request;
  const way = scheduler.policy.routing;
  if (!isEarlyBinding(way)) return service;
  const endpoints = scheduler.byService.get(service) ?? [];
  const open = endpoints.filter((one) =>
    !one.closed && one.phase !== "ejected"
  );
  const untried = open.filter((one) => !task.triedEndpoints.includes(one.id));
  scheduler.turn += 1;
  const endpoint = chooseBoundEndpoint(way, {
    open: untried.length > 0 ? untried : open,
    random: scheduler.random,
    turn: scheduler.turn,
  });
  if (!endpoint) return service;
  endpoint.boundMs += task.expectedMs;
  return endpoint.id;
}

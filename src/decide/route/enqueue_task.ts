import { TaskQueue } from "../order/task_queue.ts";
import { chooseBoundEndpoint } from "./choose_bound_endpoint.ts";
import { isEarlyBinding } from "./is_early_binding.ts";
import type { QueuedTask } from "./queued_task.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Adds a waiting task to the queue of its service, or of an endpoint if the
 * routing strategy binds early.
 */
export function enqueueTask(
  scheduler: EntrySchedulerState,
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

function chooseQueue(
  scheduler: EntrySchedulerState,
  queued: QueuedTask,
): string {
  const task = queued.job.tasks[queued.index];
  const { service } = task.request;
  const strategy = scheduler.policy.routing;
  if (!isEarlyBinding(strategy)) return service;
  const endpoints = scheduler.endpointsByService.get(service) ?? [];
  const usable = endpoints.filter((one) =>
    !one.closed && one.phase !== "ejected"
  );
  const untried = usable.filter((one) => !task.triedEndpoints.includes(one.id));
  scheduler.roundRobinIndex += 1;
  const endpoint = chooseBoundEndpoint(strategy, {
    usable: untried.length > 0 ? untried : usable,
    random: scheduler.random,
    roundRobinIndex: scheduler.roundRobinIndex,
  });
  if (!endpoint) return service;
  endpoint.boundWorkMs += task.expectedMs;
  return endpoint.id;
}

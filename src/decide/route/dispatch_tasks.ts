import type { TaskQueue } from "../order/task_queue.ts";
import { earnRetryTokens } from "../retry/earn_retry_tokens.ts";
import { chooseFreeEndpoint } from "./choose_free_endpoint.ts";
import { computeFreeSlots } from "./compute_free_slots.ts";
import type { Dispatch } from "./dispatch.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { startQueuedTask } from "./start_queued_task.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/** Assigns waiting tasks to free slots of endpoints until no task waits or no slot is free. */
export function dispatchTasks(
  scheduler: EntrySchedulerState,
  nowMs: number,
): Dispatch[] {
  const dispatches: Dispatch[] = [];
  for (const [name, queue] of scheduler.queues) {
    const bound = scheduler.endpoints.get(name);
    let dispatch = dispatchNext(scheduler, queue, { bound, name, nowMs });
    while (dispatch) {
      dispatches.push(dispatch);
      dispatch = dispatchNext(scheduler, queue, { bound, name, nowMs });
    }
  }
  return dispatches;
}

function dispatchNext(
  scheduler: EntrySchedulerState,
  queue: TaskQueue,
  options: { bound?: EndpointState; name: string; nowMs: number },
): Dispatch | undefined {
  const { bound, name, nowMs } = options;
  const endpoints = bound
    ? [bound]
    : scheduler.endpointsByService.get(name) ?? [];
  const free = endpoints.filter((one) => computeFreeSlots(one, nowMs) > 0);
  if (free.length === 0) return undefined;
  const next = queue.peek(scheduler.clients);
  if (!next) return undefined;
  const task = next.job.tasks[next.index];
  const untried = free.filter((one) => !task.triedEndpoints.includes(one.id));
  const endpoint = chooseFreeEndpoint(scheduler.policy.routing, {
    free: untried.length > 0 ? untried : free,
    random: scheduler.random,
  });
  if (!endpoint) return undefined;
  queue.pop(scheduler.clients);
  if (bound) {
    bound.boundWorkMs = Math.max(0, bound.boundWorkMs - task.expectedMs);
  }
  if (task.attempts === 0) {
    earnRetryTokens(scheduler.retryBudget, scheduler.policy.retryRatio);
  }
  startQueuedTask(scheduler, next, {
    endpoint,
    nowMs,
    freeEndpointCount: free.length,
  });
  return { job: next.job, index: next.index, endpointId: endpoint.id };
}

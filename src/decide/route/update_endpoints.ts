import type { EndpointConfiguration } from "../../config/endpoint_configuration.ts";
import { createEndpointState } from "./create_endpoint_state.ts";
import { enqueueTask } from "./enqueue_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Brings the scheduler's endpoints in line with those that this process leads by now. */
export function updateEndpoints(
  scheduler: SchedulerState,
  led: Map<string, EndpointConfiguration>,
): void {
  for (const [id, configured] of led) updateEndpoint(scheduler, id, configured);
  for (const endpoint of scheduler.endpoints.values()) {
    if (!led.has(endpoint.id)) endpoint.closed = true;
  }
  dropIdleEndpoints(scheduler, led);
  indexByService(scheduler);
  rebindTasks(scheduler);
}

function updateEndpoint(
  scheduler: SchedulerState,
  id: string,
  configured: EndpointConfiguration,
): void {
  const endpoint = scheduler.endpoints.get(id);
  if (!endpoint) {
    scheduler.endpoints.set(id, createEndpointState(id, configured));
    return;
  }
  endpoint.services = configured.services;
  endpoint.closed = configured.leaving;
  if (endpoint.slots === configured.slots) return;
  endpoint.slots = configured.slots;
  endpoint.limit = configured.slots;
}

function dropIdleEndpoints(
  scheduler: SchedulerState,
  led: Map<string, EndpointConfiguration>,
): void {
  for (const [id, endpoint] of scheduler.endpoints) {
    if (!led.has(id) && endpoint.inFlight === 0) {
      scheduler.endpoints.delete(id);
    }
  }
}

function indexByService(scheduler: SchedulerState): void {
  scheduler.byService.clear();
  for (const endpoint of scheduler.endpoints.values()) {
    for (const service of endpoint.services) {
      const others = scheduler.byService.get(service) ?? [];
      scheduler.byService.set(service, [...others, endpoint]);
    }
  }
}

/** Gives every waiting task to a queue anew, since its endpoint may be gone. */
function rebindTasks(scheduler: SchedulerState): void {
  const waiting = [...scheduler.queues.values()].flatMap((queue) =>
    queue.drain()
  );
  scheduler.queues.clear();
  for (const endpoint of scheduler.endpoints.values()) endpoint.boundMs = 0;
  for (const task of waiting) enqueueTask(scheduler, task);
}

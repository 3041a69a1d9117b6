import type { EndpointConfiguration } from "../../config/endpoint_configuration.ts";
import { createEndpointState } from "./create_endpoint_state.ts";
import { enqueueTask } from "./enqueue_task.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Updates the scheduler to the endpoints that the entry owns now. Endpoints that
 * it no longer owns are closed, and dropped once they have no task in flight.
 */
export function updateEndpoints(
  scheduler: EntrySchedulerState,
  owned: Map<string, EndpointConfiguration>,
): void {
  for (const [id, configured] of owned) {
    updateEndpoint(scheduler, id, configured);
  }
  for (const endpoint of scheduler.endpoints.values()) {
    if (!owned.has(endpoint.id)) endpoint.closed = true;
  }
  dropIdleEndpoints(scheduler, owned);
  indexByService(scheduler);
  rebindWaitingTasks(scheduler);
}

function updateEndpoint(
  scheduler: EntrySchedulerState,
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
  scheduler: EntrySchedulerState,
  owned: Map<string, EndpointConfiguration>,
): void {
  for (const [id, endpoint] of scheduler.endpoints) {
    if (!owned.has(id) && endpoint.inFlight === 0) {
      scheduler.endpoints.delete(id);
    }
  }
}

function indexByService(scheduler: EntrySchedulerState): void {
  scheduler.endpointsByService.clear();
  for (const endpoint of scheduler.endpoints.values()) {
    for (const service of endpoint.services) {
      const others = scheduler.endpointsByService.get(service) ?? [];
      scheduler.endpointsByService.set(service, [...others, endpoint]);
    }
  }
}

/** Enqueues every waiting task again, since the endpoint to which it was bound may be gone. */
function rebindWaitingTasks(scheduler: EntrySchedulerState): void {
  const waiting = [...scheduler.queues.values()].flatMap((queue) =>
    queue.drain()
  );
  scheduler.queues.clear();
  for (const endpoint of scheduler.endpoints.values()) endpoint.boundWorkMs = 0;
  for (const task of waiting) enqueueTask(scheduler, task);
}

import type { EndpointState } from "./endpoint_state.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Computes the rate at which the endpoints of a service complete work: ms of run
 * time at an endpoint of average speed, per ms.
 */
export function computeServiceRate(
  scheduler: EntrySchedulerState,
  service: string,
): number {
  let rate = 0;
  for (const endpoint of scheduler.endpointsByService.get(service) ?? []) {
    if (endpoint.closed || endpoint.phase === "ejected") continue;
    rate += countUsableSlots(endpoint) / endpoint.slowness;
  }
  return rate;
}

/**
 * Counts the slots of an endpoint. A lowered limit counts only after refusals
 * or a hand-over, since it otherwise rises again soon.
 */
function countUsableSlots(endpoint: EndpointState): number {
  const isLimited = endpoint.refusalsInRow > 0 || endpoint.isHandedOver;
  return isLimited ? endpoint.limit : endpoint.slots;
}

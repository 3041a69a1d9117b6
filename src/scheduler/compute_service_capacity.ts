import { canStartIn } from "../evacuation/can_start_in.ts";
import { canListFurtherEnd } from "./can_list_further_end.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { ServiceCapacity } from "./service_capacity.ts";

/** Computes the CPU capacity of the usable endpoints that are neither draining nor evacuated, by service. */
export function computeServiceCapacity(
  state: SchedulerState,
): Map<string, ServiceCapacity> {
  const capacities = new Map<string, ServiceCapacity>();
  for (const endpoint of state.endpoints.values()) {
    const { row, phase, used, isolatedTask } = endpoint;
    if (phase !== "usable" || row.isDraining) continue;
    if (state.mayHaveClosed && !canStartIn(state, row.dataCentre)) continue;
    const free = !isolatedTask && canListFurtherEnd(state, endpoint)
      ? Math.max(0, row.room.cpu - used.cpu)
      : 0;
    const capacity = capacities.get(row.service) ??
      { free: 0, total: 0, maxFreePerEndpoint: 0 };
    capacity.free += free;
    capacity.total += row.room.cpu;
    capacity.maxFreePerEndpoint = Math.max(capacity.maxFreePerEndpoint, free);
    capacities.set(row.service, capacity);
  }
  return capacities;
}

import type { SchedulerState } from "./scheduler_state.ts";
import type { ServiceCapacity } from "./service_capacity.ts";

/** Surveys the room of all usable endpoints, by service. */
export function computeServiceCapacity(
  state: SchedulerState,
): Map<string, ServiceCapacity> {
  const rooms = new Map<string, ServiceCapacity>();
  for (const { row, phase, used } of state.endpoints.values()) {
    if (phase !== "usable" || row.isDraining) continue;
    const free = Math.max(0, row.room.cpu - used.cpu);
    const room = rooms.get(row.service) ?? { free: 0, total: 0, largest: 0 };
    room.free += free;
    room.total += row.room.cpu;
    room.largest = Math.max(room.largest, free);
    rooms.set(row.service, room);
  }
  return rooms;
}

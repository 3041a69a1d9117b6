import type { SchedulerState } from "./scheduler_state.ts";
import type { ServiceRoom } from "./service_room.ts";

/** Surveys the room of all usable endpoints, by service. */
export function computeRoom(state: SchedulerState): Map<string, ServiceRoom> {
  const rooms = new Map<string, ServiceRoom>();
  for (const { row, phase, used } of state.endpoints.values()) {
    if (phase !== "usable" || row.isDraining) continue;
    const free = Math.max(0, row.room.cpu - used.cpu);
    const room = rooms.get(row.service) ?? { free: 0, whole: 0, largest: 0 };
    room.free += free;
    room.whole += row.room.cpu;
    room.largest = Math.max(room.largest, free);
    rooms.set(row.service, room);
  }
  return rooms;
}

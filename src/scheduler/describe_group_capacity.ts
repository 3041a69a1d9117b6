import type { GroupRoom } from "../decide/group_room.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Describes the free room of each service for other groups' schedulers. */
export function describeGroupCapacity(
  state: SchedulerState,
): Omit<GroupRoom, "group">[] {
  const waiting = new Map<string, number>();
  for (const { order, waitingCount } of state.waiting) {
    const known = waiting.get(order.service) ?? 0;
    waiting.set(order.service, known + waitingCount);
  }
  const places = new Map<string, number>();
  for (const { row, phase, used } of state.endpoints.values()) {
    const taskCpu = state.taskCpu.get(row.service);
    if (phase !== "usable" || row.isDraining || !taskCpu) continue;
    const free = Math.max(0, Math.floor((row.room.cpu - used.cpu) / taskCpu));
    places.set(row.service, (places.get(row.service) ?? 0) + free);
  }
  return [...places].map(([service, free]) => ({
    service,
    taskCpu: Math.round(state.taskCpu.get(service) ?? 0),
    places: Math.max(0, free - (waiting.get(service) ?? 0)),
  }));
}

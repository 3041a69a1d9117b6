import type { GroupCapacity } from "../decide/group_capacity.ts";
import { canStartIn } from "../evacuation/can_start_in.ts";
import { canListFurtherEnd } from "./can_list_further_end.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Describes, for the schedulers of other groups, how many more average tasks of each service could start here. A service whose endpoints are all evacuated is left out. */
export function describeGroupCapacity(
  state: SchedulerState,
): Omit<GroupCapacity, "group">[] {
  const waiting = new Map<string, number>();
  for (const { order, waitingTaskCount } of state.waiting) {
    const queued = waiting.get(order.service) ?? 0;
    waiting.set(order.service, queued + waitingTaskCount);
  }
  const startable = new Map<string, number>();
  for (const endpoint of state.endpoints.values()) {
    const { row, phase, used, isolatedTask } = endpoint;
    const taskCpu = state.taskCpu.get(row.service);
    if (phase !== "usable" || row.isDraining || !taskCpu) continue;
    if (isolatedTask || !canStartIn(state, row.dataCentre)) continue;
    if (!canListFurtherEnd(state, endpoint)) continue;
    const count = Math.max(0, Math.floor((row.room.cpu - used.cpu) / taskCpu));
    startable.set(row.service, (startable.get(row.service) ?? 0) + count);
  }
  return [...startable].map(([service, count]) => ({
    service,
    taskCpu: Math.round(state.taskCpu.get(service) ?? 0),
    places: Math.max(0, count - (waiting.get(service) ?? 0)),
  }));
}

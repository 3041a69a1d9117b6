import { canStartIn } from "../evacuation/can_start_in.ts";
import { canListFurtherEnd } from "./can_list_further_end.ts";
import type { JobOrder } from "./job_order.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Counts how many tasks of a job's first step the free CPU capacity of its service allows now. */
export function countStartableTasks(
  state: SchedulerState,
  order: Pick<JobOrder, "service" | "steps">,
): number {
  const cpu = Math.max(1, order.steps[0]?.room.cpu ?? 1);
  let count = 0;
  for (const endpoint of state.endpoints.values()) {
    const { row, phase, used, isolatedTask } = endpoint;
    if (phase !== "usable" || row.isDraining || isolatedTask) continue;
    if (!canStartIn(state, row.dataCentre)) continue;
    if (!canListFurtherEnd(state, endpoint)) continue;
    if (row.service !== order.service) continue;
    count += Math.max(0, Math.floor((row.room.cpu - used.cpu) / cpu));
  }
  return count;
}

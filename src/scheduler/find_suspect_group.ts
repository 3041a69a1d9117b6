import { canHostTask } from "./can_host_task.ts";
import { computeGroupSize } from "./compute_group_size.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { hasRoomFor } from "./has_room_for.ts";
import type { IsolatedEndpoints } from "./isolated_endpoints.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds an isolated endpoint that runs only suspects which were lost together with the task, and takes one more of them. */
export function findSuspectGroup(
  state: SchedulerState,
  task: ScheduledTask,
  at: { isolated: IsolatedEndpoints; nowMs: number },
): EndpointRecord | undefined {
  const { isolated, nowMs } = at;
  const groupSize = computeGroupSize(task);
  if (groupSize === 1) return undefined;
  const endpointOfJob = isolated.byJob.get(task.job);
  const endpoints = endpointOfJob ? [endpointOfJob] : isolated.byTask.values();
  for (const endpoint of endpoints) {
    const { runs } = endpoint;
    if (runs.size === 0 || runs.size >= groupSize) continue;
    if (!hasRoomFor(endpoint, task)) continue;
    if (!canHostTask(state, endpoint, { task, nowMs })) continue;
    if ([...runs.values()].every((one) => isLostWith(one, task))) {
      return endpoint;
    }
  }
  return undefined;
}

/** Whether both tasks have lost one run each, with the same process of an endpoint. */
function isLostWith(one: ScheduledTask, other: ScheduledTask): boolean {
  if (one.lostRuns.length !== 1 || other.lostRuns.length !== 1) return false;
  const [{ endpointId, processStartMs }] = one.lostRuns;
  const [lost] = other.lostRuns;
  return lost.endpointId === endpointId &&
    lost.processStartMs === processStartMs;
}

import { canStartIn } from "../evacuation/can_start_in.ts";
import { hasLostRuns } from "./has_lost_runs.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Opens an endpoint to other tasks again that is kept for a suspect which does not need it any more. */
export function releaseIsolation(
  state: SchedulerState,
  endpoint: EndpointRecord,
): void {
  const { isolatedTask, phase, row, runs } = endpoint;
  if (!isolatedTask || runs.get(isolatedTask.name) === isolatedTask) return;
  const isNeeded = isolatedTask.phase === "waiting" &&
    !isolatedTask.job.outcome && hasLostRuns(isolatedTask);
  const canStart = phase === "usable" && !row.isDraining &&
    canStartIn(state, row.dataCentre);
  if (isNeeded && canStart) return;
  endpoint.isolatedTask = undefined;
}

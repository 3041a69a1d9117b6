import { canEverFit } from "../scheduler/can_ever_fit.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import type { ScheduledTask } from "../scheduler/scheduled_task.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { canStartIn } from "./can_start_in.ts";

/** Whether a job has tasks to start that fit only endpoints of evacuated data centres. */
export function isHeldByEvacuation(
  state: SchedulerState,
  { order, tasks }: ScheduledJob,
): boolean {
  const { evacuations } = state;
  if (!evacuations || evacuations.dataCentres.length === 0) return false;
  const steps = new Set(tasks.filter(isToStart).map(({ step }) => step));
  for (const index of steps) {
    const step = order.steps[index];
    const canFit = (row: EndpointRow) => canEverFit([row], order.service, step);
    const canStart = hasEndpoint(
      state,
      (row) => canStartIn(state, row.dataCentre) && canFit(row),
    );
    if (!canStart && hasEndpoint(state, canFit)) return true;
  }
  return false;
}

/** Whether a task waits for its start. A held one may be running under an earlier scheduler's start. */
function isToStart({ phase, heldUntilMs }: ScheduledTask): boolean {
  return phase === "blocked" || phase === "waiting" && heldUntilMs === 0;
}

function hasEndpoint(
  { endpoints }: SchedulerState,
  isFit: (row: EndpointRow) => boolean,
): boolean {
  for (const { row } of endpoints.values()) if (isFit(row)) return true;
  return false;
}

import { computeServiceCapacity } from "../scheduler/compute_service_capacity.ts";
import { predictRunMs } from "../scheduler/predict_run_ms.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";

/**
 * Computes for each service how long all its room would be busy with what
 * waits, in ms. Load it answers: more stored jobs than room for longer than a
 * burst. Each has to be run once it is accepted, so what is accepted beyond
 * the room makes all later ones late as well.
 */
export function computeBacklogs(state: SchedulerState): Record<string, number> {
  const work = new Map<string, number>();
  for (const { order, tasks } of state.waiting) {
    for (const { phase, step } of tasks) {
      if (phase !== "waiting" && phase !== "blocked") continue;
      const { room } = order.steps[step];
      const runMs = predictRunMs(state, order.route, order.steps[step]);
      const known = work.get(order.service) ?? 0;
      work.set(order.service, known + room.cpu * runMs);
    }
  }
  const backlogs: Record<string, number> = {};
  for (const [service, { total }] of computeServiceCapacity(state)) {
    if (total === 0) continue;
    backlogs[service] = Math.round((work.get(service) ?? 0) / total);
  }
  return backlogs;
}

import { computeServiceCapacity } from "../scheduler/compute_service_capacity.ts";
import { predictRunMs } from "../scheduler/predict_run_ms.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";

/**
 * Computes the backlog of each service in ms: the expected work of all waiting
 * tasks, divided by the total capacity of the service. New stored jobs are
 * refused while the backlog is too long, because every accepted stored job has
 * to run: an unlimited backlog would make all later jobs late.
 */
export function computeBacklogs(state: SchedulerState): Record<string, number> {
  // Expected CPU time by service, in thousandths of a core times ms.
  const work = new Map<string, number>();
  for (const { order, tasks } of state.waiting) {
    for (const { phase, step } of tasks) {
      if (phase !== "waiting" && phase !== "blocked") continue;
      const { room } = order.steps[step];
      const runMs = predictRunMs(state, order.route, order.steps[step]);
      const earlier = work.get(order.service) ?? 0;
      work.set(order.service, earlier + room.cpu * runMs);
    }
  }
  const backlogs: Record<string, number> = {};
  for (const [service, { total }] of computeServiceCapacity(state)) {
    if (total === 0) continue;
    backlogs[service] = Math.round((work.get(service) ?? 0) / total);
  }
  return backlogs;
}

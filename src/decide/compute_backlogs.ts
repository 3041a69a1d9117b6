import { ASSUMED_RUN_MS } from "./assumed_run_ms.ts";
import { computeServiceCapacity } from "../scheduler/compute_service_capacity.ts";
import { hasSpaceForJob } from "../scheduler/has_space_for_job.ts";
import { predictRunMs } from "../scheduler/predict_run_ms.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";

/** Backlog that is reported while there is hardly space for further stored jobs, in ms: above that at which they are refused. */
const NO_SPACE_BACKLOG_MS = 3_000;
/** Number of stored jobs' tasks for which there has to be space, so that jobs that several VMs accept at the same time are not postponed. */
const RESERVED_TASKS = 15_000;
/** Share of the memory for orders that is reserved likewise. */
const RESERVED_SHARE = 1 / 2;

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
      const runMs = predictRunMs(state, order.route, order.steps[step]) ??
        ASSUMED_RUN_MS;
      const earlier = work.get(order.service) ?? 0;
      work.set(order.service, earlier + room.cpu * runMs);
    }
  }
  const leastMs = isSpaceShort(state) ? NO_SPACE_BACKLOG_MS : 0;
  const backlogs: Record<string, number> = {};
  for (const [service, { total }] of computeServiceCapacity(state)) {
    if (total === 0) continue;
    const workMs = Math.round((work.get(service) ?? 0) / total);
    backlogs[service] = Math.max(workMs, leastMs);
  }
  return backlogs;
}

function isSpaceShort(state: SchedulerState): boolean {
  const reserved = {
    tasks: RESERVED_TASKS,
    bytes: state.limits.maxOrderBytes * RESERVED_SHARE,
    isKept: true,
  };
  return state.postponedJobs.size > 0 || !hasSpaceForJob(state, reserved);
}

import { canStartIn } from "../evacuation/can_start_in.ts";
import { isSuspect } from "./is_suspect.ts";
import type { IsolatedEndpoints } from "./isolated_endpoints.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Finds the isolated endpoints and counts the endpoints of each service that are not evacuated. */
export function indexIsolatedEndpoints(
  state: SchedulerState,
): IsolatedEndpoints {
  const byTask: IsolatedEndpoints["byTask"] = new Map();
  const byJob: IsolatedEndpoints["byJob"] = new Map();
  const counts: IsolatedEndpoints["counts"] = new Map();
  for (const endpoint of state.endpoints.values()) {
    const { row, phase, runs, isolatedTask } = endpoint;
    if (isolatedTask) {
      byTask.set(isolatedTask, endpoint);
      byJob.set(isolatedTask.job, endpoint);
      for (const task of runs.values()) {
        if (isSuspect(task)) byJob.set(task.job, endpoint);
      }
    }
    if (!canStartIn(state, row.dataCentre)) continue;
    const count = counts.get(row.service) ?? { all: 0, usable: 0, isolated: 0 };
    counts.set(row.service, count);
    count.all += 1;
    if (phase !== "usable") continue;
    count.usable += 1;
    if (isolatedTask) count.isolated += 1;
  }
  return { byTask, byJob, counts, exhausted: new Set() };
}

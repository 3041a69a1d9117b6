import type { EndpointRecord } from "./endpoint_record.ts";
import { learnSlowness } from "./learn_slowness.ts";
import { findExpectedRunMs } from "./find_expected_run_ms.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Weight of the newest sample in an endpoint's slowness; low, because run-time estimates are off by tens of per cent. */
const ENDPOINT_WEIGHT = 0.15;
/** Weight of the newest sample in a route's mean run time. */
const ROUTE_WEIGHT = 0.05;
/** Lower bound of run times, in ms: that of the clocks' steps. */
const MIN_RUN_MS = 1;

/**
 * Updates the endpoint's slowness and the route's mean run time from a
 * successful run, and ends the endpoint's series of consecutive failures. A run
 * of which no run time was expected says nothing about the endpoint.
 */
export function learnRunTime(
  state: SchedulerState,
  endpoint: EndpointRecord,
  task: ScheduledTask,
): void {
  if (endpoint.consecutiveFailures > 0) {
    endpoint.consecutiveFailures = 0;
    recordEvent(state, "endpointRested", {
      endpoint: endpoint.row.id,
      isOver: true,
    });
  }
  if (task.startConfirmedMs === 0) return;
  // By the endpoint's clock, as this process may be late in reading the reply and the listing.
  const tookMs = Math.max(MIN_RUN_MS, endpoint.clockMs - task.startedClockMs);
  const runMs = findExpectedRunMs(state, task);
  if (runMs !== undefined) {
    const step = task.job.order.steps[task.step];
    const expectedMs = Math.max(MIN_RUN_MS, runMs, step.estimateMs / 2);
    const weight = Math.max(
      ENDPOINT_WEIGHT,
      1 / (endpoint.slownessSamples + 2),
    );
    learnSlowness(endpoint, { ratio: tookMs / expectedMs, weight });
    endpoint.slownessSamples += 1;
  }
  learnRouteMean(state, task.job.order.route, tookMs / endpoint.slowness);
}

/** Updates a route's mean run time, normalised to an average endpoint, in ms. */
function learnRouteMean(
  state: SchedulerState,
  route: string,
  runMs: number,
): void {
  const stats = state.routeStats.get(route) ?? { meanMs: runMs, samples: 0 };
  const weight = Math.max(ROUTE_WEIGHT, 1 / (stats.samples + 1));
  stats.meanMs += (runMs - stats.meanMs) * weight;
  stats.samples += 1;
  state.routeStats.set(route, stats);
}

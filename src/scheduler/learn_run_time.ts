import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Weight of the newest sample in an endpoint's slowness; estimates are off by tens of per cent. */
const ENDPOINT_WEIGHT = 0.15;
/** Weight of the newest sample in a route's mean run time. */
const ROUTE_WEIGHT = 0.05;
/** A single sample counts as at most this many times slower or faster than expected. */
const MOST_RATIO = 8;

/** Learns from a done run how slow its endpoint is and how long the route's tasks take. */
export function learnRunTime(
  state: SchedulerState,
  endpoint: EndpointRecord,
  run: { task: ScheduledTask; nowMs: number },
): void {
  const { task, nowMs } = run;
  if (endpoint.strikes > 0) {
    endpoint.strikes = 0;
    recordEvent(state, "endpointRested", {
      endpoint: endpoint.row.id,
      isOver: true,
    });
  }
  if (task.confirmedMs === 0) return;
  const tookMs = nowMs - task.confirmedMs;
  const step = task.job.order.steps[task.step];
  const expectedMs = Math.max(1, task.job.criticalPathMs, step.estimateMs / 2);
  const ratio = Math.min(
    MOST_RATIO,
    Math.max(1 / MOST_RATIO, tookMs / expectedMs),
  );
  const weight = Math.max(ENDPOINT_WEIGHT, 1 / (endpoint.samples + 2));
  endpoint.slowness = Math.exp(
    Math.log(endpoint.slowness) * (1 - weight) + Math.log(ratio) * weight,
  );
  endpoint.samples += 1;
  learnRoute(state, task.job.order.route, tookMs / endpoint.slowness);
}

function learnRoute(
  state: SchedulerState,
  route: string,
  normalMs: number,
): void {
  const known = state.routes.get(route) ?? { meanMs: normalMs, samples: 0 };
  const weight = Math.max(ROUTE_WEIGHT, 1 / (known.samples + 1));
  known.meanMs += (normalMs - known.meanMs) * weight;
  known.samples += 1;
  state.routes.set(route, known);
}

import { canEverFit } from "./can_ever_fit.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

type Refusal = Extract<JobOutcome, { type: "refused" }>;

/** Time after which a refused caller may retry, in ms: about the time in which the queue of a burst drains. */
const RETRY_AFTER_MS = 1_000;

/** Finds why a best-effort job cannot be served; undefined when it may wait. */
export function findRefusal(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): Refusal | undefined {
  const { order } = job;
  // A stored job is run however late it is.
  if (order.isKept) return undefined;
  if (nowMs + job.criticalPathMs * 0.5 > job.uselessAfterMs) {
    return refuse("outOfTime");
  }
  if (hasLostAllEndpoints(state)) return refuse("noEndpoints");
  const areEndpointsRead = nowMs - state.startedMs > 1_000 ||
    state.endpoints.size > 0;
  if (!areEndpointsRead) return undefined;
  const rows = [...state.endpoints.values()].map(({ row }) => row);
  const fits = order.steps.every((step) =>
    canEverFit(rows, order.service, step)
  );
  if (!fits && state.endpoints.size > 0) return refuse("neverFits");
  return undefined;
}

function refuse(reason: Refusal["reason"]): Refusal {
  return { type: "refused", reason, retryAfterMs: RETRY_AFTER_MS };
}

/** Whether this is a solo VM and every endpoint obeys a later scheduler. */
function hasLostAllEndpoints(state: SchedulerState): boolean {
  if (!state.isSolo || state.endpoints.size === 0) return false;
  return [...state.endpoints.values()].every(({ phase }) => phase === "taken");
}

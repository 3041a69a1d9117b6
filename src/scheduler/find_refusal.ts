import { canEverFit } from "./can_ever_fit.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

type Refusal = Extract<JobOutcome, { type: "refused" }>;

/** A refused caller may come back after this, in ms: about the time a burst's queue takes to drain. */
const RETRY_AFTER_MS = 1_000;

/** Finds why a job can't be served, or nothing when it may wait. */
export function findRefusal(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): Refusal | undefined {
  const { order } = job;
  // A stored job is run however late.
  if (order.isKept) return undefined;
  if (nowMs + job.criticalPathMs * 0.5 > job.uselessMs) {
    return refuse("outOfTime");
  }
  if (isCutOff(state)) return refuse("noEndpoints");
  const isListed = nowMs - state.startedMs > 1_000 || state.endpoints.size > 0;
  if (!isListed) return undefined;
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

/** Whether a VM that serves alone has found that every endpoint obeys a later scheduler. */
function isCutOff(state: SchedulerState): boolean {
  if (!state.isSolo || state.endpoints.size === 0) return false;
  return [...state.endpoints.values()].every(({ phase }) => phase === "taken");
}

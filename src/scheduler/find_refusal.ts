import type { JobOutcome } from "./job_outcome.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { StepOrder } from "./step_order.ts";

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
  if (nowMs + job.chainMs * 0.5 > job.uselessMs) return refuse("outOfTime");
  if (isCutOff(state)) return refuse("noEndpoints");
  const isListed = nowMs - state.beganMs > 1_000 || state.endpoints.size > 0;
  if (!isListed) return undefined;
  const fits = order.steps.every((step) =>
    canEverFit(state, order.service, step)
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

function canEverFit(
  state: SchedulerState,
  service: string,
  step: StepOrder,
): boolean {
  for (const { row } of state.endpoints.values()) {
    if (row.service !== service) continue;
    const { requiredLabel, room } = step;
    if (requiredLabel && !row.labels.includes(requiredLabel)) continue;
    const fits = row.room.cpu >= room.cpu &&
      row.room.memoryMb >= room.memoryMb && row.room.gpus >= room.gpus;
    if (fits) return true;
  }
  return false;
}

import { predictCriticalPathMs } from "../decide/predict_critical_path_ms.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { OpenJob } from "./open_job.ts";

/** An answer this many times later than its objective is worth nothing to the caller. */
const USELESS_FACTOR = 3;
/** Callers that were refused for want of a scheduler may come back after this, in ms: a takeover's time. */
const TAKEOVER_MS = 1_000;

/** Finds the answer of a job that waits for a scheduler in vain. */
export function findGivenUp(
  job: OpenJob,
  nowMs: number,
): JobOutcome | undefined {
  const { order } = job;
  const chainMs = predictCriticalPathMs(order.steps, (step) => step.estimateMs);
  const allowedMs = USELESS_FACTOR * (order.stretch * chainMs + order.slackMs);
  const untilMs = Math.min(allowedMs, order.waitMs) - chainMs;
  if (nowMs - job.receivedMs < untilMs) return undefined;
  if (job.handedTo !== 0) return { type: "failed", reason: "outOfTime" };
  return {
    type: "refused",
    reason: "noScheduler",
    retryAfterMs: TAKEOVER_MS,
  };
}
